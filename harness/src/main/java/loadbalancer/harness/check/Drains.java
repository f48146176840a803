package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Checks that a node sends no attempt to an app server of which it was not notified, nor to one that is draining or
 * gone, once the grace period since that notification has passed. A restarted node has to be notified again.
 */
public final class Drains extends Checker {
    private final long graceUs;
    /** By node and app server: the notification from which the grace period counts. */
    private final Map<String, Map<String, Event>> notified = new HashMap<>();

    public Drains(long graceUs) {
        this.graceUs = graceUs;
    }

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case STARTED -> notified.remove(event.process());
            case TOLD -> {
                Map<String, Event> toNode = notified.computeIfAbsent(event.process(), node -> new HashMap<>());
                Event before = toNode.get(event.text("server"));
                // Draining and then gone: the grace period starts at the first notification.
                if (before == null || isReady(before) || isReady(event)) {
                    toNode.put(event.text("server"), event);
                }
            }
            case SEND -> {
                Event last = notified.getOrDefault(event.process(), Map.of()).get(event.text("server"));
                if (last == null) {
                    addViolation(
                            event.atUs(), "attempt sent to a server that the node was not notified of", List.of(event));
                } else if (!isReady(last) && event.atUs() > last.atUs() + graceUs) {
                    addViolation(
                            event.atUs(),
                            "attempt sent " + (event.atUs() - last.atUs()) + " us after notification of state "
                                    + last.text("state"),
                            List.of(last, event));
                }
            }
            default -> {}
        }
    }

    private static boolean isReady(Event notification) {
        return notification.text("state").equals("READY");
    }
}
