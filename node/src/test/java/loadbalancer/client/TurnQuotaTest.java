package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TurnQuotaTest {
    private final ManualClock clock = new ManualClock();
    private final TurnQuota quota = new TurnQuota(clock, 3);

    /** Guards against clients that keep the event loop from all others: each turn has its own quota and no more. */
    @Test
    void quotaIsForOneTurn() {
        for (int turn = 0; turn < 3; turn++) {
            assertFalse(quota.isUsedUp());
            assertFalse(quota.isUsedUp());
            assertTrue(quota.isUsedUp());
            assertTrue(quota.isUsedUp());
            clock.nextTurn();
        }
    }
}
