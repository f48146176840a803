package loadbalancer.transfer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * Size limits that bound the memory of one exchange, and the matching buffer allocators. The same limits apply to
 * client and server connections.
 */
public final class TransferLimits {
    /** Allocates unpooled heap buffers, as memory is scarce and the load is too small for a pool to pay off. */
    public static final ByteBufAllocator ALLOCATOR = new HeapBufferAllocator();

    /** The largest request body that is forwarded. */
    public static final int MAX_BODY_BYTES = 32 << 20;

    /**
     * The largest body that is buffered, so that a request can be retried and a failed response can be replaced by that
     * of another attempt. A larger body is streamed.
     */
    public static final int MAX_BUFFERED_BYTES = 64 << 10;

    /** The largest read from a socket, and the largest part that a body is decoded into. */
    public static final int MAX_READ_BYTES = 16 << 10;

    /**
     * SO_SNDBUF of client connections. With a much larger buffer, a connection to a slow peer would seem to stall while
     * the buffer drains, and data that is only in the buffer would seem to have arrived.
     */
    public static final int SOCKET_SEND_BUFFER_BYTES = 64 << 10;

    /**
     * SO_RCVBUF of client connections. What waits in the buffer has been written by the client, whose time runs, but
     * the node does not know it. It also bounds the memory of clients that are not read.
     *
     * <p>A window that has no room for two loopback segments (64 KiB each) makes TCP wait for its probe timer, 200 ms
     * or more, in which the socket is empty although the client has sent more, and perhaps the end of its stream.
     */
    public static final int SOCKET_RECEIVE_BUFFER_BYTES = 256 << 10;

    /**
     * How much a client's own socket may hold of what the client has written: the largest send buffer that Linux gives
     * a socket by itself.
     */
    public static final int MAX_PEER_SEND_BUFFER_BYTES = 4 << 20;

    /**
     * SO_SNDBUF of connections to servers. What a slow server has still to read of a large request costs the client
     * time that runs from its last byte. Buffers much smaller than a loopback segment (64 KiB) stall TCP.
     */
    public static final int UPSTREAM_SEND_BUFFER_BYTES = 32 << 10;

    /** How many times a socket is read in one turn of the event loop. */
    public static final int MAX_READS_PER_TURN = 4;

    /** The other side of a transfer is paused above the high mark of unwritten bytes and resumed below the low mark. */
    public static final WriteBufferWaterMark WRITE_WATER_MARK =
            new WriteBufferWaterMark(MAX_READ_BYTES, 2 * MAX_READ_BYTES);

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;

    private TransferLimits() {}

    /** Returns a new allocator for the buffers that sockets are read into. */
    public static AdaptiveRecvByteBufAllocator newReadAllocator() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        return allocator;
    }
}
