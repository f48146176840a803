package loadbalancer.client;

import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection in two steps: first the node's side, then, once the client has closed its own or a while has
 * passed, the rest. What the client still sends in between is read and dropped.
 *
 * <p>This guards against lost responses: a socket that is closed over unread bytes resets the connection, and the
 * client then loses responses that are still on their way. Reading until the client's end leaves nothing unread.
 */
final class LingeringClose {
    private static final long LINGER_MS = 2_000;

    private final SocketChannel channel;
    /** The end of the second step; null until the first one is taken. */
    private Future<?> timeout;

    LingeringClose(SocketChannel channel) {
        this.channel = channel;
    }

    /** Takes the first step, once, on a connection that is open; {@code beforeEnd} runs ahead of it. */
    void start(Runnable beforeEnd) {
        if (timeout == null && channel.isActive()) {
            beforeEnd.run();
            channel.shutdownOutput();
            channel.config().setAutoRead(true);
            timeout = channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The connection is closed. */
    void cancel() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
