package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class WakeUpTimerTest {
    private final RecordedActions actions = new RecordedActions();
    private final WakeUpTimer timer = new WakeUpTimer(actions);

    @Test
    void onlyAnEarlierWakeUpIsScheduled() {
        timer.schedule(500, 0);
        timer.schedule(600, 0);
        timer.schedule(400, 0);
        timer.schedule(-5, 100);
        assertEquals(List.of("wake 500", "wake 400", "wake 101"), actions.calls);
    }

    @Test
    void veryLateWakeUpIndicatesAPauseOfTheNode() {
        timer.schedule(100, 0);
        assertFalse(timer.onWake(50_100));
        timer.schedule(100_000, 50_100);
        assertTrue(timer.onWake(150_001));
        assertFalse(timer.onWake(900_000));
    }
}
