package loadbalancer.harness.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores all orders of events of a very small fleet, up to a depth. Each message in flight may arrive next or get
 * lost, each process may wake next, one process may crash, one may leave, and one may be partitioned and reconnected.
 *
 * <p>The state of a protocol depends only on the sequence of its events. Two paths with the same sequence for each
 * process lead to the same state, so that only one of them is explored further. A state is reached by replaying its
 * path, because a protocol cannot be copied.
 */
public final class ModelCheck {
    /** The exploration stops when there are more violations. */
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
     * Result of a check.
     *
     * @param states number of different states that were reached
     * @param ends number of these at the full depth, from which the fleet continued without faults
     * @param complete whether all states up to the depth were reached
     * @param violations descriptions, each with the path to the state
     */
    public record Result(long states, long ends, boolean complete, List<String> violations) {}

    private ModelCheck(int processes, int depth, long maxStates) {
        this.processes = processes;
        this.depth = depth;
        this.maxStates = maxStates;
    }

    /** Explores all states up to the depth, or until {@code maxStates} states were reached. */
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
