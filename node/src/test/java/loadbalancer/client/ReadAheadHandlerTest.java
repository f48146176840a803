package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.transfer.TransferLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order and the account of input that is paused, read ahead, passed on and discarded. */
class ReadAheadHandlerTest {
    private static final int STEPS = 2_000;
    /** Longer than it may be unknown whether a client is there. */
    private static final int UNCONFIRMED_MS = 60;
    /** Longer than an attempt may begin after its client has left. */
    private static final int LONG_TURN_MS = 110;

    private final ReadAheadBudget budget = new ReadAheadBudget(1 << 20);
    private final ManualClock clock = new ManualClock();

    private final RecordingListener listener = new RecordingListener();
    private final ReadAheadHandler handler = new ReadAheadHandler(budget, listener, clock, clock::nanoTime);
    private final EmbeddedChannel channel = new EmbeddedChannel(handler);
    private final ByteArrayOutputStream sent = new ByteArrayOutputStream();
    private final ByteArrayOutputStream passedOn = new ByteArrayOutputStream();

    private static final class RecordingListener implements InputListener {
        private boolean bodyWaiting;
        private int overflows;

        @Override
        public boolean isReadAheadUseful() {
            return true;
        }

        @Override
        public boolean isBodyWaiting() {
            return bodyWaiting;
        }

        @Override
        public void onInputOverflow() {
            overflows++;
        }

        @Override
        public void onInputCaughtUp() {}
    }

    /** A turn of the event loop in which nothing is read. */
    private void nextTurn() {
        clock.nextTurn();
        channel.runPendingTasks();
    }

    /** A turn of the event loop in which this is read. */
    private void read(byte[] bytes) {
        clock.nextTurn();
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
                case 2 -> nextTurn();
                default -> {
                    byte[] bytes = new byte[1 + random.nextInt(200)];
                    random.nextBytes(bytes);
                    read(bytes);
                }
            }
            takePassedOn();
        }
        handler.resume();
        nextTurn();
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
        nextTurn();
        read(new byte[100]);
        long nowNanos = clock.nanoTime();
        assertTrue(handler.writtenSinceNanos(1) >= nowNanos, "unread input may have arrived before");
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
        nextTurn();
        assertEquals(0, budget.heldBytes());
        takePassedOn();
        assertEquals(0, passedOn.size());
    }

    private void passTime() {
        clock.advanceMillis(UNCONFIRMED_MS);
        channel.advanceTimeBy(UNCONFIRMED_MS, TimeUnit.MILLISECONDS);
    }

    private void pauseUntilUnconfirmed() {
        handler.pause();
        read(new byte[100]);
        passTime();
    }

    /** Reads until the budget allows no more. */
    private void useUpBudget() {
        while (budget.allows(handler.heldBytes(), TransferLimits.MAX_READ_BYTES)) {
            read(new byte[TransferLimits.MAX_READ_BYTES]);
        }
    }

    /** Guards against an attempt that begins while the end of the client's stream may lie in what is not read. */
    @Test
    void actionWaitsUntilTheSocketIsEmpty() {
        AtomicInteger runs = new AtomicInteger();
        pauseUntilUnconfirmed();
        handler.whenConfirmed(runs::incrementAndGet);
        for (int i = 0; i < 10; i++) {
            read(new byte[100]);
            assertEquals(0, runs.get());
        }
        nextTurn();
        nextTurn();
        assertEquals(1, runs.get());
    }

    /** Guards against delaying a client that is known to be there. */
    @Test
    void actionRunsAtOnceForAClientThatWasThereAMomentAgo() {
        AtomicInteger runs = new AtomicInteger();
        handler.whenConfirmed(runs::incrementAndGet);
        handler.pause();
        handler.whenConfirmed(runs::incrementAndGet);
        assertEquals(2, runs.get());
    }

    /** Guards against an attempt that begins long after the poll that found its client there: the turn was long. */
    @Test
    void actionWaitsForTheNextPollAfterALongTurn() {
        AtomicInteger runs = new AtomicInteger();
        passTime();
        handler.whenConfirmed(runs::incrementAndGet);
        assertEquals(0, runs.get());
        nextTurn();
        assertEquals(1, runs.get());
    }

    /** Guards against an attempt that begins at the end of a turn so long that its client may have left meanwhile. */
    @Test
    void actionWaitsForAnotherPollIfTheTurnOfTheFirstOneIsLong() {
        AtomicInteger runs = new AtomicInteger();
        passTime();
        handler.whenConfirmed(runs::incrementAndGet);
        clock.nextTurn();
        clock.advanceMillis(LONG_TURN_MS);
        channel.runPendingTasks();
        assertEquals(0, runs.get());
        nextTurn();
        assertEquals(1, runs.get());
    }

    /** Guards against calling a socket empty that was not polled: the input was resumed and paused in one turn. */
    @Test
    void socketThatIsNotPolledIsNotTakenForEmpty() {
        AtomicInteger runs = new AtomicInteger();
        pauseUntilUnconfirmed();
        handler.whenConfirmed(runs::incrementAndGet);
        read(new byte[100]);
        handler.resume();
        channel.runPendingTasks();
        handler.pause();
        nextTurn();
        assertEquals(0, runs.get());
        nextTurn();
        assertEquals(1, runs.get());
    }

    /** Guards against an attempt that is never decided: its client closes, or the action would wait for good. */
    @Test
    void actionRunsOnceTheConnectionHasClosed() {
        AtomicInteger runs = new AtomicInteger();
        pauseUntilUnconfirmed();
        handler.whenConfirmed(runs::incrementAndGet);
        channel.close();
        nextTurn();
        assertEquals(1, runs.get());
    }

    /** Guards against not knowing whether a client is there because no more of its input may be held. */
    @Test
    void inputThatCannotBeHeldIsTakenOnlyIfAnActionWaits() {
        pauseUntilUnconfirmed();
        useUpBudget();
        nextTurn();
        assertEquals(0, listener.overflows);
        AtomicInteger runs = new AtomicInteger();
        handler.whenConfirmed(runs::incrementAndGet);
        assertEquals(1, listener.overflows);
        assertEquals(0, runs.get());
        handler.resume();
        for (int i = 0; i < 100 && runs.get() == 0; i++) {
            nextTurn();
        }
        assertEquals(1, runs.get());
        assertEquals(0, budget.heldBytes());
    }

    /** Guards against a body that is never sent because it is larger than what may be held. */
    @Test
    void bodyThatCannotBeHeldNeedsNoConfirmationToBegin() {
        listener.bodyWaiting = true;
        pauseUntilUnconfirmed();
        useUpBudget();
        AtomicInteger runs = new AtomicInteger();
        handler.whenConfirmed(runs::incrementAndGet);
        assertEquals(1, runs.get());
        assertEquals(0, listener.overflows);
    }
}
