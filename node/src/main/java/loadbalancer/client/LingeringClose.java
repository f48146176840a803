package loadbalancer.client;

import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a client connection in two steps, so that responses in transit are not lost.
 *
 * <p>The first step shuts down the node's output. From then on input is read and dropped. When the client closes its
 * side, Netty closes the channel on reading the end of the stream; if that takes longer than {@link #LINGER_MS}, the
 * channel is closed by a timer.
 *
 * <p>Closing a socket that has unread input resets the connection, and the client may then lose a response that it has
 * not read yet. Reading until the client closes leaves no unread input.
 */
final class LingeringClose {
    private static final long LINGER_MS = 2_000;

    private final SocketChannel channel;
    /** Closes the channel after {@link #LINGER_MS}; null until {@link #start}. */
    private Future<?> timeout;

    LingeringClose(SocketChannel channel) {
        this.channel = channel;
    }

    /**
     * Shuts down the output, once, if the channel is active.
     *
     * @param discardInput discards the input that has been read and reads on
     */
    void start(Runnable discardInput) {
        if (timeout == null && channel.isActive()) {
            channel.shutdownOutput();
            discardInput.run();
            timeout = channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Cancels the timer; to be called when the channel has closed. */
    void cancel() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
