package loadbalancer.harness.check;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.History;

/** Reads a history once, in order, and reports violations of one rule. */
public abstract class Checker implements History.Reader {
    /** Number of violations that are kept; further ones are only counted. */
    static final int MAX_VIOLATIONS = 100;

    private final List<Violation> violations = new ArrayList<>();
    private long violationCount;

    /**
     * Returns the name of the rule, which reports store. It is the name of the class, so that renaming a checker
     * changes reports.
     */
    public final String name() {
        return getClass().getSimpleName();
    }

    /** Called at the end of the history. */
    public void end(long nowUs) {
        // Most rules are violated by an event, not by a missing one.
    }

    /** Returns the first {@value #MAX_VIOLATIONS} violations, in order. */
    public final List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of all violations, including those that are not kept. */
    public final long violationCount() {
        return violationCount;
    }

    /**
     * Records a violation.
     *
     * @param events what led to it, in order
     */
    protected final void addViolation(long atUs, String description, List<Event> events) {
        violationCount++;
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(name(), atUs, description, List.copyOf(events)));
        }
    }
}
