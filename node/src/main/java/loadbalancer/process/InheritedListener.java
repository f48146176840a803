package loadbalancer.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import loadbalancer.config.ConfigException;

/**
 * The clients' listening socket where the platform holds it: every process of the node gets it as descriptor
 * 0 and accepts on it. Once opened it must not be closed before the process ends, as the JDK then points the
 * standard streams, and so the log, at nothing.
 */
final class InheritedListener {
    private InheritedListener() {}

    static ServerSocketChannel open() throws ConfigException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel channel
                    && channel.getLocalAddress() instanceof InetSocketAddress at
                    && at.getPort() != 0) {
                return channel;
            }
        } catch (IOException e) {
            throw new ConfigException("PROXY_SOCKET_FD", "names descriptor 0, which cannot be used: " + e);
        }
        throw new ConfigException("PROXY_SOCKET_FD", "names descriptor 0, which is no listening socket");
    }
}
