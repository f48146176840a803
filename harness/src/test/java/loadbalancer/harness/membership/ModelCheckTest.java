package loadbalancer.harness.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Explores all orders of events of a small fleet, including losses, a crash, a leave and a partition. */
class ModelCheckTest {
    private static final int DEPTH = Integer.getInteger("loadbalancer.depth", 5);
    private static final long MAX_STATES = 20_000_000;

    /** In no order is a record replaced by an older one, and at the end all processes have the same view. */
    @Test
    void threeProcessesConvergeAfterEveryOrderOfEvents() {
        ModelCheck.Result result = ModelCheck.check(3, DEPTH, MAX_STATES);
        System.out.println("three processes, depth " + DEPTH + ": " + result.states() + " states, " + result.ends()
                + " continued without faults");
        assertEquals(List.of(), result.violations());
        assertTrue(result.complete() && result.states() > 1_000, result.toString());
    }
}
