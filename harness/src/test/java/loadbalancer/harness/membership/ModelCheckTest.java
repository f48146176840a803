package loadbalancer.harness.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** All orders of events of a small fleet, with losses, a crash, a leave and a partition among them. */
class ModelCheckTest {
    private static final int DEPTH = Integer.getInteger("loadbalancer.depth", 5);
    private static final long MAX_STATES = 20_000_000;

    /** In no order does a record go back to an older one, and in the end all processes hold the same. */
    @Test
    void threeProcessesConvergeAfterEveryOrderOfEvents() {
        ModelCheck.Result result = ModelCheck.check(3, DEPTH, MAX_STATES);
        System.out.println("three processes, depth " + DEPTH + ": " + result.states() + " states, " + result.ends()
                + " run to their end");
        assertEquals(List.of(), result.violations());
        assertTrue(result.complete() && result.states() > 1_000, result.toString());
    }
}
