package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * What was acknowledged as durable is there after every restart. {@code RETURN} of an op append acknowledges
 * its number; {@code STARTED} of a process with a store tells the highest number that it found, {@code
 * found}.
 */
public final class AckedWrites extends Checker {
    private final Map<String, Event> acknowledged = new HashMap<>();

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case RETURN -> {
                if (event.has("number") && event.isTrue("ok")) {
                    acknowledged.merge(
                            event.process(), event, (a, b) -> a.number("number") > b.number("number") ? a : b);
                }
            }
            case STARTED -> {
                Event last = acknowledged.get(event.process());
                if (last != null && event.has("found") && event.number("found") < last.number("number")) {
                    violated(
                            event.atUs(),
                            "found " + event.number("found") + " though " + last.number("number") + " was acknowledged",
                            List.of(last, event));
                }
            }
            default -> {}
        }
    }
}
