package loadbalancer.transfer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The sizes that bound what a node holds of one exchange, and the buffers that go with them. They are the same on the
 * client's and the server's side.
 */
public final class TransferLimits {
    /** Buffers of just the size needed, on the heap: memory is short, and loads are small. */
    public static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    /** The largest body that is passed on. */
    public static final int MAX_BODY_BYTES = 32 << 20;

    /**
     * Up to this size a body is buffered, so that a request can be sent again and a response can be replaced by another
     * attempt's. A larger body is streamed.
     */
    public static final int MAX_BUFFERED_BYTES = 64 << 10;

    /** The most that is read from a socket at once. */
    public static final int MAX_READ_BYTES = 16 << 10;

    /**
     * What the system may hold that is written. With a much larger buffer a slow peer's connection would seem to stall
     * while the buffer empties, and what is only written would seem to have arrived.
     */
    public static final int SOCKET_SEND_BUFFER_BYTES = 64 << 10;

    /** Above the high mark of unwritten bytes the other side stops reading; below the low mark it resumes. */
    public static final WriteBufferWaterMark WRITE_WATER_MARK =
            new WriteBufferWaterMark(MAX_READ_BYTES, 2 * MAX_READ_BYTES);

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READS_PER_TURN = 4;

    private TransferLimits() {}

    /** Returns a new allocator for the parts that a large body is read in. */
    public static AdaptiveRecvByteBufAllocator newReadAllocator() {
        AdaptiveRecvByteBufAllocator allocator =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        allocator.maxMessagesPerRead(MAX_READS_PER_TURN);
        return allocator;
    }
}
