package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Checks that a node sends no attempt to an app server that is cordoned at this node, from the node's confirmation
 * until the cordon ends.
 */
public final class Cordons extends Checker {
    /** The {@code CORDON} event of each node and app server that is in effect. */
    private final Map<String, Event> cordons = new HashMap<>();

    @Override
    public void read(Event event) {
        String pair = event.process() + " " + event.fields().get("server");
        switch (event.kind()) {
            case CORDON -> cordons.putIfAbsent(pair, event);
            case UNCORDON -> cordons.remove(pair);
            case SEND -> {
                if (cordons.containsKey(pair)) {
                    addViolation(event.atUs(), "attempt sent to a cordoned server", List.of(cordons.get(pair), event));
                }
            }
            default -> {}
        }
    }
}
