package loadbalancer.membership.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SuspicionTest {
    private static final long MIN_US = 100;
    private static final long MAX_US = 600;

    /** Guards against a slow process that suspects everyone: unconfirmed suspicions have the longest timeout. */
    @Test
    void unconfirmedSuspicionHasTheLongestTimeout() {
        Suspicion suspicion = new Suspicion(1_000, MIN_US, MAX_US, 3, "n1");
        assertEquals(1_000 + MAX_US, suspicion.endsAtUs());
        assertFalse(suspicion.confirm("n1"), "the same reporter does not confirm");
        assertEquals(1_000 + MAX_US, suspicion.endsAtUs());
    }

    @Test
    void eachConfirmationShortensTheTimeout() {
        Suspicion suspicion = new Suspicion(1_000, MIN_US, MAX_US, 3, "n1");
        assertTrue(suspicion.confirm("n2"));
        assertEquals(1_000 + 350, suspicion.endsAtUs());
        assertTrue(suspicion.confirm("n3"));
        assertTrue(suspicion.confirm("n4"));
        assertEquals(1_000 + MIN_US, suspicion.endsAtUs());
        assertFalse(suspicion.confirm("n5"), "enough have confirmed");
    }

    /** A process that is paused while it suspects a member cannot receive the refutation in that time. */
    @Test
    void pauseMovesTheTimeout() {
        Suspicion suspicion = new Suspicion(1_000, MIN_US, MIN_US, 0, "n1");
        suspicion.postpone(50);
        assertEquals(1_050 + MIN_US, suspicion.endsAtUs());
    }
}
