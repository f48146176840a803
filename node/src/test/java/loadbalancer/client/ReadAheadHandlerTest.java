package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order and the account of input that is paused, read ahead, passed on and discarded. */
class ReadAheadHandlerTest {
    private static final int STEPS = 2_000;

    private final ReadAheadBudget budget = new ReadAheadBudget(1 << 20);
    private final ReadAheadHandler handler = new ReadAheadHandler(budget, () -> true, System::nanoTime);
    private final EmbeddedChannel channel = new EmbeddedChannel(handler);
    private final ByteArrayOutputStream sent = new ByteArrayOutputStream();
    private final ByteArrayOutputStream passedOn = new ByteArrayOutputStream();

    private void read(byte[] bytes) {
        sent.writeBytes(bytes);
        // Half of the buffers are mostly empty, which the handler compacts.
        ByteBuf buffer = Unpooled.buffer(bytes.length % 2 == 0 ? bytes.length : 3 * bytes.length);
        channel.writeInbound(buffer.writeBytes(bytes));
    }

    private void takePassedOn() {
        ByteBuf next;
        while ((next = channel.readInbound()) != null) {
            passedOn.writeBytes(ByteBufUtil.getBytes(next));
            next.release();
        }
    }

    /** Guards against bytes that are lost, used twice or out of order, and against an account that never empties. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void anyOrderOfReadsAndPausesKeepsEveryByteInOrder(long seed) {
        Random random = new Random(seed);
        for (int step = 0; step < STEPS; step++) {
            switch (random.nextInt(4)) {
                case 0 -> handler.pause();
                case 1 -> handler.resume();
                case 2 -> channel.runPendingTasks();
                default -> {
                    byte[] bytes = new byte[1 + random.nextInt(200)];
                    random.nextBytes(bytes);
                    read(bytes);
                }
            }
            takePassedOn();
        }
        handler.resume();
        channel.runPendingTasks();
        takePassedOn();
        assertEquals(Unpooled.wrappedBuffer(sent.toByteArray()), Unpooled.wrappedBuffer(passedOn.toByteArray()));
        assertEquals(0, budget.heldBytes());
        assertTrue(channel.config().isAutoRead(), "reading is paused for good");
    }

    /**
     * Guards against rejecting a request for time that it has not waited: the input has caught up by a read that has
     * just filled its buffer, and the next request comes later.
     */
    @Test
    void inputIsNotBehindAfterAReadThatHasFilledItsBuffer() {
        handler.pause();
        handler.resume();
        channel.runPendingTasks();
        read(new byte[100]);
        long nowNanos = System.nanoTime();
        assertTrue(handler.unreadSinceNanos() >= nowNanos, "unread input may have arrived before");
    }

    /** Guards against memory that is never freed: a connection ends, or its input is discarded. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void heldBytesAreFreed(boolean closed) {
        handler.pause();
        read(new byte[100]);
        assertTrue(budget.heldBytes() > 0);
        if (closed) {
            channel.close();
        } else {
            handler.discardAndResume();
        }
        channel.runPendingTasks();
        assertEquals(0, budget.heldBytes());
        takePassedOn();
        assertEquals(0, passedOn.size());
    }
}
