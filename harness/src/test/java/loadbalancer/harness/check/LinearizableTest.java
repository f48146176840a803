package loadbalancer.harness.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.history.Event.Kind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The search against registers that are known to be right, as each call happens at one moment, and with one
 * lie.
 */
class LinearizableTest {
    private static final int CALLS = 60;
    private static final int CLIENTS = 5;

    private record Step(long atUs, Kind kind, Object[] fields) {}

    /**
     * A true history; in one read of it, chosen by {@code lie}, a value comes back that was never written.
     */
    private static List<Step> history(long seed, int lie) {
        SplittableRandom random = new SplittableRandom(seed);
        long[] free = new long[CLIENTS];
        List<long[]> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            int client = random.nextInt(CLIENTS);
            long from = free[client] + random.nextLong(1, 50);
            long happens = from + random.nextLong(0, 100);
            free[client] = happens + random.nextLong(0, 100);
            calls.add(new long[] {from, happens, free[client]});
        }
        calls.sort(Comparator.comparingLong(call -> call[1]));
        List<Step> steps = new ArrayList<>();
        String value = null;
        int reads = 0;
        for (int i = 0; i < CALLS; i++) {
            long id = i;
            String before = value;
            switch (random.nextInt(3)) {
                case 0 -> {
                    value = "v" + i;
                    steps.add(
                            step(calls.get(i)[0], Kind.INVOKE, "call", id, "op", "write", "key", "k", "value", value));
                    // One in four never comes back, though it happened.
                    if (random.nextInt(4) > 0) {
                        steps.add(step(calls.get(i)[2], Kind.RETURN, "call", id, "ok", true));
                    }
                }
                case 1 -> {
                    boolean expects = before != null && random.nextBoolean();
                    value = expects ? "v" + i : before;
                    steps.add(step(
                            calls.get(i)[0],
                            Kind.INVOKE,
                            "call",
                            id,
                            "op",
                            "cas",
                            "key",
                            "k",
                            "expect",
                            expects ? before : "none",
                            "value",
                            "v" + i));
                    steps.add(step(calls.get(i)[2], Kind.RETURN, "call", id, "ok", expects));
                }
                default -> {
                    String read = reads++ == lie ? "never" : before;
                    steps.add(step(calls.get(i)[0], Kind.INVOKE, "call", id, "op", "read", "key", "k"));
                    steps.add(
                            read == null
                                    ? step(calls.get(i)[2], Kind.RETURN, "call", id, "ok", true)
                                    : step(calls.get(i)[2], Kind.RETURN, "call", id, "ok", true, "value", read));
                }
            }
        }
        steps.sort(Comparator.comparingLong(Step::atUs));
        return steps;
    }

    private static Step step(long atUs, Kind kind, Object... fields) {
        return new Step(atUs, kind, fields);
    }

    private static List<Violation> judge(List<Step> steps) {
        HistoryBuilder told = new HistoryBuilder(new Linearizable());
        steps.forEach(step -> told.at(step.atUs).add(step.kind, step.fields));
        return told.end();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void linearizableHistoriesPassAndOthersAreDetected(long seed) {
        assertEquals(List.of(), judge(history(seed, -1)));
        assertTrue(judge(history(seed, (int) seed % 10)).size() == 1);
    }
}
