package loadbalancer.harness.check;

import java.util.List;
import loadbalancer.harness.history.Event;

/**
 * No decision used a value that was older than its bound, by the true time at which it was written: {@code
 * USED}.
 */
public final class Ages extends Checker {
    @Override
    public void read(Event event) {
        if (event.kind() == Event.Kind.USED) {
            long ageUs = event.atUs() - event.number("written");
            if (ageUs > event.number("bound")) {
                violated(
                        event.atUs(),
                        event.text("value") + " was " + ageUs + " us old, bound " + event.number("bound"),
                        List.of(event));
            }
        }
    }
}
