package loadbalancer.harness.check;

import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.harness.history.Event;

/**
 * Checks that all running processes hold the same view within a time after the last fault and the last start, end,
 * pause or resumption of a process. {@code VIEW} has the digest of a view.
 */
public final class Converged extends Checker {
    private final long withinUs;
    private final Map<String, Event> views = new TreeMap<>();
    private long lastFaultAtUs;

    public Converged(long withinUs) {
        this.withinUs = withinUs;
    }

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case VIEW -> views.put(event.process(), event);
            case KILLED -> {
                views.remove(event.process());
                lastFaultAtUs = event.atUs();
            }
            case STARTED, ENDING, PAUSED, RESUMED, FAULT, HEALED -> lastFaultAtUs = event.atUs();
            default -> {}
        }
    }

    @Override
    public void end(long nowUs) {
        long digests =
                views.values().stream().map(e -> e.text("digest")).distinct().count();
        if (nowUs >= lastFaultAtUs + withinUs && digests > 1) {
            addViolation(
                    nowUs,
                    digests + " different views " + (nowUs - lastFaultAtUs) + " us after the last fault",
                    new ArrayList<>(views.values()));
        }
    }
}
