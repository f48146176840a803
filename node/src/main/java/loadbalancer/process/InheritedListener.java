package loadbalancer.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import loadbalancer.config.ConfigException;

/**
 * The clients' listening socket where the platform holds it: each process of the node inherits it as descriptor 0 and
 * accepts on it, so that no connection is refused while one process follows another.
 *
 * <p>Once opened, the channel must not be closed before the process ends: the JDK would point the standard streams at
 * nothing with it, and the log would be lost.
 */
final class InheritedListener {
    private InheritedListener() {}

    /** @throws ConfigException if descriptor 0 is not a listening socket with an address */
    static ServerSocketChannel open() throws ConfigException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel channel
                    && channel.getLocalAddress() instanceof InetSocketAddress address
                    && address.getPort() != 0) {
                return channel;
            }
        } catch (IOException e) {
            throw new ConfigException("PROXY_SOCKET_FD", "names descriptor 0, which cannot be used: " + e);
        }
        throw new ConfigException("PROXY_SOCKET_FD", "names descriptor 0, which is no listening socket");
    }
}
