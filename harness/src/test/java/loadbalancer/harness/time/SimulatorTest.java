package loadbalancer.harness.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SimulatorTest {
    private final Simulator time = new Simulator(7);
    private final List<String> events = new ArrayList<>();

    @Test
    void tasksDueTogetherRunInOrderAndCancelledOnesNever() {
        time.at(20, () -> events.add("c at " + time.nowUs()));
        time.at(10, () -> {
            events.add("a at " + time.nowUs());
            time.at(5, () -> events.add("late at " + time.nowUs()));
        });
        time.at(10, () -> events.add("b at " + time.nowUs()));
        time.at(15, () -> events.add("off")).cancel();
        time.at(31, () -> events.add("beyond"));
        time.runUntil(30);
        assertEquals(List.of("a at 10", "b at 10", "late at 10", "c at 20"), events);
        assertEquals(30, time.nowUs());
    }

    @Test
    void randomStreamOfAnActorIsIndependentOfOthers() {
        long alone = time.stream("server s1").nextLong();
        time.stream("server s0").nextLong();
        assertEquals(alone, time.stream("server s1").nextLong());
        assertNotEquals(alone, time.stream("server s2").nextLong());
        assertNotEquals(alone, new Simulator(8).stream("server s1").nextLong());
    }
}
