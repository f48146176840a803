package loadbalancer.transfer;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * A side that something large flows from. The other side holds it back while it has more than it can pass on,
 * so that what a node holds of each exchange is bounded, however large it is and however slow a peer.
 */
public interface FlowControl {
    /** Buffers of just the size needed, on the heap: memory is short, and loads are small. */
    ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);
    /** The largest body that is passed on. */
    int MOST_BODY = 32 << 20;
    /** Up to so much of a body is gathered, to be sent again or to be replaced; what is larger flows. */
    int MOST_GATHERED = 64 << 10;
    /** The most that is read at once. */
    int MOST_PART = 16 << 10;
    /**
     * What the system may hold that is written: much more, and a slow peer's connection would seem to stand
     * still while that empties, and what is written to have arrived.
     */
    int SYSTEM_BUFFER = 64 << 10;
    /** What waits to be written from which on the other side is held back, and goes on again. */
    WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(MOST_PART, 2 * MOST_PART);

    /** Reads no more until {@link #goOn}. */
    void holdBack();

    /** Reads on. */
    void goOn();

    /** Sizes of the parts that a large body is read in. */
    static AdaptiveRecvByteBufAllocator parts() {
        AdaptiveRecvByteBufAllocator parts = new AdaptiveRecvByteBufAllocator(512, 2_048, MOST_PART);
        parts.maxMessagesPerRead(4);
        return parts;
    }
}
