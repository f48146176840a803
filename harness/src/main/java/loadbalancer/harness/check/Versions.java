package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Each watcher sees versions that only grow, and none left out unless what it is given says that it is whole.
 * {@code WATCHED} has version and whole, and from, the version that it follows on. A watcher that starts
 * again may begin anywhere.
 */
public final class Versions extends Checker {
    private final Map<String, Event> last = new HashMap<>();

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case STARTED -> last.remove(event.process());
            case WATCHED -> {
                Event before = last.put(event.process(), event);
                if (before == null) {
                    return;
                }
                long seen = before.number("version");
                if (event.number("version") < seen || event.number("version") == seen && !event.isTrue("whole")) {
                    violated(
                            event.atUs(),
                            "version " + event.number("version") + " after " + seen,
                            List.of(before, event));
                } else if (!event.isTrue("whole") && event.number("from") != seen) {
                    violated(
                            event.atUs(),
                            "a gap: changes since " + event.number("from") + " after version " + seen,
                            List.of(before, event));
                }
            }
            default -> {}
        }
    }
}
