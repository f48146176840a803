package loadbalancer.harness.check;

import java.util.List;
import loadbalancer.harness.history.Event;

/**
 * Checks that no decision uses a value older than its bound. The age counts from the time of the run at which the value
 * was written. {@code USED} has value, which is its name, and the times written and bound in microseconds.
 */
public final class Ages extends Checker {
    @Override
    public void read(Event event) {
        if (event.kind() == Event.Kind.USED) {
            long ageUs = event.atUs() - event.number("written");
            if (ageUs > event.number("bound")) {
                addViolation(
                        event.atUs(),
                        event.text("value") + " was " + ageUs + " us old, bound " + event.number("bound"),
                        List.of(event));
            }
        }
    }
}
