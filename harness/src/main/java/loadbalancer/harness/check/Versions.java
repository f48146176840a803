package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Checks that each watcher sees increasing versions without gaps. Only a full list may repeat a version or follow a
 * gap. A watcher that restarts may begin with any version.
 *
 * <p>{@code WATCHED} has version, whole for a full list, and from, the version to which the changes apply.
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
                    addViolation(
                            event.atUs(),
                            "version " + event.number("version") + " after " + seen,
                            List.of(before, event));
                } else if (!event.isTrue("whole") && event.number("from") != seen) {
                    addViolation(
                            event.atUs(),
                            "gap: changes since " + event.number("from") + " after version " + seen,
                            List.of(before, event));
                }
            }
            default -> {}
        }
    }
}
