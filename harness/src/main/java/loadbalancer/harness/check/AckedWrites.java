package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Checks that every write that was acknowledged as durable is present after each restart.
 *
 * <p>{@code RETURN} with ok acknowledges the write with its {@code number}. {@code STARTED} of a process that has a
 * store contains the highest number that it {@code found}.
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
                    addViolation(
                            event.atUs(),
                            "found " + event.number("found") + " although " + last.number("number")
                                    + " was acknowledged",
                            List.of(last, event));
                }
            }
            default -> {}
        }
    }
}
