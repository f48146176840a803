package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Nothing goes to an app server that a node was never told of, or was told drains or is gone, beyond the
 * grace.
 */
public final class Drains extends Checker {
    private final long graceUs;
    /** The last notification of each node about each server. */
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
                // Told to drain and later that it is gone: the grace runs from the first.
                if (before == null || isReady(before) || isReady(event)) {
                    toNode.put(event.text("server"), event);
                }
            }
            case SEND -> {
                Event last = notified.getOrDefault(event.process(), Map.of()).get(event.text("server"));
                if (last == null) {
                    violated(event.atUs(), "sent to a server that the node was never told of", List.of(event));
                } else if (!isReady(last) && event.atUs() > last.atUs() + graceUs) {
                    violated(
                            event.atUs(),
                            "sent " + (event.atUs() - last.atUs()) + " us after word that it is " + last.text("state"),
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
