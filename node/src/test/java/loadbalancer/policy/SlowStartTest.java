package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SlowStartTest {
    private static final long RESPONSE_INTERVAL_US = 10_000;

    private final RuleFixture fixture = new RuleFixture(2);
    private final SlowStart slowStart = fixture.rules.slowStart;
    private final ServerRecord server = fixture.state.servers[0];
    private long now = RuleFixture.START_US;

    /** Records responses at a constant rate, up to the time when the server starts. */
    @BeforeEach
    void learnResponseRate() {
        for (int i = 0; i < 1_000; i++) {
            now += RESPONSE_INTERVAL_US;
            slowStart.onSuccess(now);
        }
        server.startedAtUs = now;
    }

    /** Number of requests that may be sent to the server within this time, with responses at the same rate. */
    private int sendsWithin(long us) {
        int sends = 0;
        for (long end = now + us; now < end; now += RESPONSE_INTERVAL_US / 10) {
            if (now % RESPONSE_INTERVAL_US == 0) {
                slowStart.onSuccess(now);
            }
            if (slowStart.maySend(server, now)) {
                slowStart.onSent(server, now);
                sends++;
            }
        }
        return sends;
    }

    @Test
    void warmServerIsNotLimited() {
        server.startedAtUs = 0;
        assertFalse(slowStart.isWarmingUp(server, now));
        assertEquals(10, sendsWithin(RESPONSE_INTERVAL_US));
    }

    @Test
    void warmingServerGetsHalfOfTheAllowedMultiple() {
        // An even share is one request per 20 ms; at a fifth of the capacity and 1.5 times that, one per 66 ms.
        int sends = sendsWithin(1_000_000);
        assertTrue(sends >= 14 && sends <= 18, sends + " sends");
    }

    @Test
    void intervalShrinksAsTheServerWarmsUp() {
        int first = sendsWithin(1_000_000);
        now += 10_000_000 - now % RESPONSE_INTERVAL_US;
        learnResponseRate();
        server.startedAtUs = now - 10_000_000;
        assertTrue(sendsWithin(1_000_000) > 2 * first, "must be more than twice " + first);
    }

    @Test
    void warmUpEndsAfterItsTime() {
        assertTrue(slowStart.isWarmingUp(server, now + fixture.settings.warmUpUs - 1));
        assertFalse(slowStart.isWarmingUp(server, now + fixture.settings.warmUpUs));
    }
}
