package loadbalancer.harness.check;

import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.harness.history.Event;

/** Within a time after the last fault all processes that live hold the same view: {@code VIEW} has digest. */
public final class Converged extends Checker {
    private final long withinUs;
    private final Map<String, Event> views = new TreeMap<>();
    private long hurtAtUs;

    public Converged(long withinUs) {
        this.withinUs = withinUs;
    }

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case VIEW -> views.put(event.process(), event);
            case KILLED -> {
                views.remove(event.process());
                hurtAtUs = event.atUs();
            }
            case STARTED, ENDING, PAUSED, RESUMED, FAULT, HEALED -> hurtAtUs = event.atUs();
            default -> {}
        }
    }

    @Override
    public void end(long nowUs) {
        long digests =
                views.values().stream().map(e -> e.text("digest")).distinct().count();
        if (nowUs >= hurtAtUs + withinUs && digests > 1) {
            violated(
                    nowUs,
                    digests + " different views " + (nowUs - hurtAtUs) + " us after the last fault",
                    new ArrayList<>(views.values()));
        }
    }
}
