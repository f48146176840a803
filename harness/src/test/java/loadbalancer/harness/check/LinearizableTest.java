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
 * Checks random histories of a register that are linearizable by construction, because each call takes effect at one
 * moment, and the same histories with one wrong read.
 */
class LinearizableTest {
    private static final int CALLS = 60;
    private static final int CLIENTS = 5;

    private record Step(long atUs, Kind kind, Object[] fields) {}

    /**
     * Returns a linearizable history, except that the read with the index {@code wrongRead} returns a value that was
     * never written; -1 for none.
     */
    private static List<Step> history(long seed, int wrongRead) {
        SplittableRandom random = new SplittableRandom(seed);
        long[] freeAtUs = new long[CLIENTS];
        List<long[]> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            int client = random.nextInt(CLIENTS);
            long callUs = freeAtUs[client] + random.nextLong(1, 50);
            long effectUs = callUs + random.nextLong(0, 100);
            freeAtUs[client] = effectUs + random.nextLong(0, 100);
            calls.add(new long[] {callUs, effectUs, freeAtUs[client]});
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
                    // One write in four takes effect but never returns.
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
                    String read = reads++ == wrongRead ? "never" : before;
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

    private static List<Violation> check(List<Step> steps) {
        HistoryBuilder builder = new HistoryBuilder(new Linearizable());
        steps.forEach(step -> builder.at(step.atUs).add(step.kind, step.fields));
        return builder.end();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void linearizableHistoryPassesAndWrongReadIsDetected(long seed) {
        assertEquals(List.of(), check(history(seed, -1)));
        assertTrue(check(history(seed, (int) seed % 10)).size() == 1);
    }
}
