package loadbalancer.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import loadbalancer.config.ConfigException;

/**
 * Opens the listening socket for clients that the process inherits from the platform as file descriptor 0.
 *
 * <p>The platform keeps the socket open and passes it to each process of the node. At a handover it starts the next
 * process on the socket, waits until that process is ready, and sends SIGTERM to the previous one, which then stops
 * accepting. The socket is never closed in between, so no connection is refused.
 *
 * <p>The opened channel must stay open until the process ends: when it is closed, the JDK redirects the standard
 * streams to {@code /dev/null}, and the log is lost.
 */
final class InheritedListener {
    private InheritedListener() {}

    /**
     * Returns the inherited listening socket.
     *
     * @throws ConfigException if descriptor 0 is not a listening socket with an IP address and a port
     */
    static ServerSocketChannel open() throws ConfigException {
        try {
            if (System.inheritedChannel() instanceof ServerSocketChannel channel
                    && channel.getLocalAddress() instanceof InetSocketAddress address
                    && address.getPort() != 0) {
                return channel;
            }
        } catch (IOException e) {
            throw new ConfigException("PROXY_SOCKET_FD", "is 0, but descriptor 0 cannot be opened: " + e);
        }
        throw new ConfigException("PROXY_SOCKET_FD", "is 0, but descriptor 0 is not a bound listening socket");
    }
}
