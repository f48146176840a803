package loadbalancer.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import loadbalancer.request.LateResponsePace.Verdict;
import loadbalancer.transfer.TransferLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which responses of unknown length may go on after their deadline. Time is moved by hand. */
class LateResponsePaceTest {
    private static final long DEADLINE_US = 1_000_000;

    /** How long after its deadline a small response is lost. */
    private static final long LOST_AFTER_US = 500_000;

    /** How long the event loop may be held up before it ends a response. */
    private static final long LOOP_DELAY_US = 100_000;

    @Test
    void firstCheckLeavesTimeToEndTheResponse() {
        LateResponsePace pace = new LateResponsePace(DEADLINE_US, 0);
        assertTrue(pace.windowEndUs() <= DEADLINE_US + LOST_AFTER_US - LOOP_DELAY_US);
    }

    /** Guards against a server that sends a few bytes now and then and so never ends its response. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1, 10, 1_000, 10_000})
    void slowProgressDoesNotExtendTheResponse(long bytesPerWindow) {
        for (long bytesAtDeadline : new long[] {0, 5, 40_000, TransferLimits.MAX_BUFFERED_BYTES - bytesPerWindow}) {
            LateResponsePace pace = new LateResponsePace(DEADLINE_US, bytesAtDeadline);
            assertEquals(Verdict.TOO_SLOW, pace.check(pace.windowEndUs(), bytesAtDeadline + bytesPerWindow, false));
        }
    }

    /** The slowest transfers on the platform bring 64 kB a second; the check allows for half of that. */
    @ParameterizedTest
    @ValueSource(longs = {32_000, 64_000})
    void largeResponseAtTheSlowestRateGoesOn(long bytesPerSecond) {
        LateResponsePace pace = new LateResponsePace(DEADLINE_US, 0);
        long bytes = 0;
        while (bytes <= TransferLimits.MAX_BUFFERED_BYTES) {
            bytes += bytesPerSecond * LateResponsePace.WINDOW_US / 1_000_000;
            Verdict verdict = pace.check(pace.windowEndUs(), bytes, false);
            assertEquals(bytes > TransferLimits.MAX_BUFFERED_BYTES ? Verdict.LARGE : Verdict.ON_PACE, verdict);
        }
    }

    @Test
    void checkBeforeTheEndOfTheWindowChangesNothing() {
        LateResponsePace pace = new LateResponsePace(DEADLINE_US, 0);
        long endUs = pace.windowEndUs();
        assertEquals(Verdict.ON_PACE, pace.check(endUs - 1, 0, false));
        assertEquals(endUs, pace.windowEndUs());
        assertEquals(Verdict.TOO_SLOW, pace.check(endUs, 0, false));
    }

    /** Guards against blaming the server for a client that does not read. */
    @Test
    void timeInWhichTheClientPausesDoesNotCount() {
        LateResponsePace pace = new LateResponsePace(DEADLINE_US, 40_000);
        assertEquals(Verdict.ON_PACE, pace.check(pace.windowEndUs(), 40_000, true));
        long resumedAtUs = pace.windowEndUs() - 1;
        pace.startWindow(resumedAtUs, 40_000);
        assertEquals(Verdict.ON_PACE, pace.check(resumedAtUs + 1, 40_000, false));
        assertEquals(Verdict.TOO_SLOW, pace.check(resumedAtUs + LateResponsePace.WINDOW_US, 40_000, false));
    }

    /** Whatever a server sends, a response that the client reads is large, ended or too slow after a bounded time. */
    @Test
    void noResponseStaysUndecidedForLong() {
        long maxWindows = TransferLimits.MAX_BUFFERED_BYTES / LateResponsePace.MIN_BYTES_PER_WINDOW + 1;
        for (int seed = 0; seed < 1_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            LateResponsePace pace = new LateResponsePace(DEADLINE_US, 0);
            long bytes = 0;
            Verdict verdict = Verdict.ON_PACE;
            for (long window = 0; window < maxWindows; window++) {
                bytes += random.nextLong(4 * LateResponsePace.MIN_BYTES_PER_WINDOW);
                verdict = pace.check(pace.windowEndUs() + random.nextLong(100_000), bytes, false);
                if (verdict != Verdict.ON_PACE) {
                    break;
                }
            }
            assertNotEquals(Verdict.ON_PACE, verdict, "seed " + seed);
        }
    }
}
