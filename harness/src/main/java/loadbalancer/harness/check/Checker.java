package loadbalancer.harness.check;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.History;

/** Reads a history once, forwards, and says what in it must not have happened. */
public abstract class Checker implements History.Reader {
    /** More than so many tell nothing new. */
    static final int MAX_VIOLATIONS = 100;

    private final List<Violation> violations = new ArrayList<>();
    private long found;

    /** The rule's name, as scenarios and reports use it. */
    public final String name() {
        return getClass().getSimpleName();
    }

    /** The history has come to its end. */
    public void end(long nowUs) {
        // Most rules are broken by an event and not by the want of one.
    }

    /** The first ones, in order. */
    public final List<Violation> violations() {
        return List.copyOf(violations);
    }

    /** How many there were in all. */
    public final long found() {
        return found;
    }

    protected final void violated(long atUs, String what, List<Event> events) {
        found++;
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(new Violation(name(), atUs, what, List.copyOf(events)));
        }
    }
}
