package loadbalancer.harness.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores all orders of events of a very small fleet, up to a depth: any message under way may arrive next or get
 * lost, any process may wake next, one process may crash, one may leave, and one may be partitioned and healed.
 *
 * <p>The state of a protocol depends on nothing but the events that it was given, in their order. Two paths that gave
 * each process the same events in the same order have come to the same state, and one of them is enough. A state is
 * reached by replaying its path, as a protocol cannot be copied.
 */
public final class ModelCheck {
    private static final int MAX_VIOLATIONS = 10;

    private final int processes;
    private final int depth;
    private final long maxStates;
    private final Set<List<Long>> visited = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private long states;
    private long ends;
    private boolean truncated;

    /**
     * What was found.
     *
     * @param states different ones that were reached
     * @param ends of these, the ones at the full depth, from which the fleet was run on without faults
     * @param complete whether all states up to the depth were reached
     * @param violations each with the path to it
     */
    public record Result(long states, long ends, boolean complete, List<String> violations) {}

    private ModelCheck(int processes, int depth, long maxStates) {
        this.processes = processes;
        this.depth = depth;
        this.maxStates = maxStates;
    }

    /** Explores all states up to the depth, or as many as are allowed. */
    public static Result check(int processes, int depth, long maxStates) {
        ModelCheck check = new ModelCheck(processes, depth, maxStates);
        check.explore(new ArrayList<>());
        return new Result(check.states, check.ends, !check.truncated, check.violations);
    }

    private void explore(List<Integer> path) {
        if (states >= maxStates || violations.size() > MAX_VIOLATIONS) {
            truncated = true;
            return;
        }
        ModelCheckFleet fleet = replay(path);
        if (!visited.add(fleet.stateKey())) {
            return;
        }
        states++;
        if (!fleet.violations().isEmpty()) {
            violations.add(path + ": " + fleet.violations());
            return;
        }
        if (path.size() == depth) {
            ends++;
            runWithoutFaults(fleet, path);
            return;
        }
        int choices = fleet.choices();
        for (int choice = 0; choice < choices; choice++) {
            path.add(choice);
            explore(path);
            path.remove(path.size() - 1);
        }
    }

    private ModelCheckFleet replay(List<Integer> path) {
        ModelCheckFleet fleet = new ModelCheckFleet(processes);
        path.forEach(fleet::choose);
        return fleet;
    }

    private void runWithoutFaults(ModelCheckFleet fleet, List<Integer> path) {
        String violation = fleet.runWithoutFaults();
        if (violation != null) {
            violations.add(path + ": " + violation);
        }
    }
}
