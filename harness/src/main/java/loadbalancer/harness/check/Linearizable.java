package loadbalancer.harness.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import loadbalancer.harness.history.Event;

/**
 * Checks that reads, writes and compare-and-sets of registers are linearizable: that there is an order in which each
 * takes effect at one moment between its call and its return. It is the search of Wing and Gong, with Lowe's cache of
 * visited states. A call that never returned may or may not have taken effect.
 *
 * <p>{@code INVOKE} has call, op (read, write, cas), key, value and, for cas, expect. {@code RETURN} has call, ok, and
 * for a read its value.
 */
public final class Linearizable extends Checker {
    /** Maximum number of calls of one key. The search takes exponential time in the worst case. */
    static final int MAX_CALLS = 10_000;

    /** Maximum number of states that the search visits for one key. */
    private static final int MAX_STATES = 5_000_000;

    private final Map<String, List<Call>> byKey = new LinkedHashMap<>();
    private final Map<Long, Call> open = new LinkedHashMap<>();

    private static final class Call {
        private final Event invoked;
        private Event returned;

        Call(Event invoked) {
            this.invoked = invoked;
        }

        private long endsUs() {
            return returned == null ? Long.MAX_VALUE : returned.atUs();
        }
    }

    /** The calls that have taken effect, by index, and the value of the register after them. */
    private record State(Set<Integer> performed, String value) {}

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case INVOKE -> {
                if (event.has("key")) {
                    Call call = new Call(event);
                    open.put(event.number("call"), call);
                    byKey.computeIfAbsent(event.text("key"), key -> new ArrayList<>())
                            .add(call);
                }
            }
            case RETURN -> {
                Call call = open.remove(event.number("call"));
                if (call != null) {
                    call.returned = event;
                }
            }
            default -> {}
        }
    }

    @Override
    public void end(long nowUs) {
        byKey.forEach((key, calls) -> {
            if (calls.size() > MAX_CALLS) {
                throw new IllegalStateException("register " + key + " has more than " + MAX_CALLS + " calls");
            }
            if (!isLinearizable(calls)) {
                addViolation(nowUs, "the calls of register " + key + " are not linearizable", events(calls));
            }
        });
    }

    private static List<Event> events(List<Call> calls) {
        List<Event> events = new ArrayList<>();
        for (Call call : calls) {
            events.add(call.invoked);
            if (call.returned != null) {
                events.add(call.returned);
            }
        }
        return events;
    }

    private boolean isLinearizable(List<Call> calls) {
        Set<State> visited = new HashSet<>();
        List<State> pending = new ArrayList<>();
        pending.add(new State(Set.of(), null));
        while (!pending.isEmpty()) {
            State current = pending.remove(pending.size() - 1);
            long firstEndUs = Long.MAX_VALUE;
            boolean allPending = true;
            for (int i = 0; i < calls.size(); i++) {
                if (!current.performed.contains(i)) {
                    firstEndUs = Math.min(firstEndUs, calls.get(i).endsUs());
                    allPending &= calls.get(i).returned == null;
                }
            }
            if (allPending) {
                return true;
            }
            for (int i = 0; i < calls.size(); i++) {
                Call call = calls.get(i);
                if (!current.performed.contains(i)
                        && call.invoked.atUs() <= firstEndUs
                        && isConsistent(call, current.value)) {
                    Set<Integer> performed = new HashSet<>(current.performed);
                    performed.add(i);
                    State next = new State(performed, valueAfter(call, current.value));
                    if (visited.add(next)) {
                        pending.add(next);
                    }
                }
            }
            if (visited.size() > MAX_STATES) {
                throw new IllegalStateException("too many states to search; use fewer calls per register");
            }
        }
        return false;
    }

    /** Whether the result of a call is the one that it has at this value of the register. */
    private static boolean isConsistent(Call call, String value) {
        if (call.returned == null) {
            return true;
        }
        return switch (call.invoked.text("op")) {
            case "read" -> Objects.equals(call.returned.fields().get("value"), value);
            case "cas" ->
                call.returned.isTrue("ok")
                        == Objects.equals(call.invoked.fields().get("expect"), value);
            default -> true;
        };
    }

    private static String valueAfter(Call call, String value) {
        return switch (call.invoked.text("op")) {
            case "write" -> call.invoked.text("value");
            case "cas" ->
                Objects.equals(call.invoked.fields().get("expect"), value) ? call.invoked.text("value") : value;
            default -> value;
        };
    }
}
