package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Nothing goes to an app server that operators have taken out at that node, from the node's yes to their next
 * word.
 */
public final class Cordons extends Checker {
    private final Map<String, Event> out = new HashMap<>();

    @Override
    public void read(Event event) {
        String pair = event.process() + " " + event.fields().get("server");
        switch (event.kind()) {
            case CORDON -> out.putIfAbsent(pair, event);
            case UNCORDON -> out.remove(pair);
            case SEND -> {
                if (out.containsKey(pair)) {
                    violated(event.atUs(), "sent to a server that is out by hand", List.of(out.get(pair), event));
                }
            }
            default -> {}
        }
    }
}
