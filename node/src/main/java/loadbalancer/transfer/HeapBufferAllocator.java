package loadbalancer.transfer;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * Allocates unpooled heap buffers, also those that sockets are read into. The direct memory of the process is small:
 * input that is kept would use it up, and each further read would wait for a garbage collection.
 */
final class HeapBufferAllocator extends AbstractByteBufAllocator {
    private static final UnpooledByteBufAllocator UNPOOLED = new UnpooledByteBufAllocator(false, true);

    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
        return UNPOOLED.heapBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
        return UNPOOLED.directBuffer(initialCapacity, maxCapacity);
    }

    @Override
    public ByteBuf ioBuffer() {
        return heapBuffer();
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity) {
        return heapBuffer(initialCapacity);
    }

    @Override
    public ByteBuf ioBuffer(int initialCapacity, int maxCapacity) {
        return heapBuffer(initialCapacity, maxCapacity);
    }

    @Override
    public boolean isDirectBufferPooled() {
        return false;
    }
}
