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
 * Reads, writes and compare-and-sets of registers could have happened one after the other, each at some time
 * between its call and its return (Wing and Gong's search, with Lowe's memory of what was seen). A call that
 * never returned may have happened, or not. {@code INVOKE} has call, op (read, write, cas), key, value and,
 * for cas, expect; {@code RETURN} has call, ok, and for a read its value.
 */
public final class Linearizable extends Checker {
    /** Calls of one key beyond which the search is not tried: it takes exponential time at worst. */
    static final int MAX_CALLS = 10_000;

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

    /** What has happened so far, as a set of calls, and the value that left. */
    private record State(Set<Integer> done, String value) {}

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
                throw new IllegalStateException("register " + key + " has over " + MAX_CALLS + " calls");
            }
            if (!isLinearizable(calls)) {
                violated(nowUs, "the calls of register " + key + " happened in no order", events(calls));
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
        Set<State> seen = new HashSet<>();
        List<State> toTry = new ArrayList<>();
        toTry.add(new State(Set.of(), null));
        while (!toTry.isEmpty()) {
            State at = toTry.remove(toTry.size() - 1);
            long firstEndUs = Long.MAX_VALUE;
            boolean all = true;
            for (int i = 0; i < calls.size(); i++) {
                if (!at.done.contains(i)) {
                    firstEndUs = Math.min(firstEndUs, calls.get(i).endsUs());
                    all &= calls.get(i).returned == null;
                }
            }
            if (all) {
                return true;
            }
            for (int i = 0; i < calls.size(); i++) {
                Call call = calls.get(i);
                if (!at.done.contains(i) && call.invoked.atUs() <= firstEndUs && happens(call, at.value)) {
                    Set<Integer> done = new HashSet<>(at.done);
                    done.add(i);
                    State next = new State(done, after(call, at.value));
                    if (seen.add(next)) {
                        toTry.add(next);
                    }
                }
            }
            if (seen.size() > MAX_STATES) {
                throw new IllegalStateException("too many orders to search; keep fewer calls to a register");
            }
        }
        return false;
    }

    /** Whether what came back is what comes back at this value. */
    private static boolean happens(Call call, String value) {
        if (call.returned == null) {
            return true;
        }
        return switch (call.invoked.text("op")) {
            case "read" -> Objects.equals(call.returned.fields().get("value"), value);
            case "cas" ->
                call.returned.isTrue("ok") == Objects.equals(call.invoked.fields().get("expect"), value);
            default -> true;
        };
    }

    private static String after(Call call, String value) {
        return switch (call.invoked.text("op")) {
            case "write" -> call.invoked.text("value");
            case "cas" ->
                Objects.equals(call.invoked.fields().get("expect"), value) ? call.invoked.text("value") : value;
            default -> value;
        };
    }
}
