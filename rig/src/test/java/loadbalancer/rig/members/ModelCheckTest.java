package loadbalancer.rig.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ModelCheckTest {
    private static final int DEPTH = Integer.getInteger("loadbalancer.depth", 5);
    private static final long MOST_STATES = 20_000_000;

    @Test
    void noOrderOfEventsBreaksWhatThreeProcessesMayRelyOn() {
        ModelCheck.Result result = ModelCheck.check(3, DEPTH, MOST_STATES);
        System.out.println("three processes, depth " + DEPTH + ": " + result.states() + " states, " + result.ends()
                + " played to their end");
        assertEquals(List.of(), result.broken());
        assertTrue(result.whole() && result.states() > 1_000, result.toString());
    }
}
