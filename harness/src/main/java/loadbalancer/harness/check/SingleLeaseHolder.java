package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Checks that no two processes hold a lease at the same time. {@code LEASED} has lease and until, its expiry;
 * {@code RELEASED} has lease.
 */
public final class SingleLeaseHolder extends Checker {
    private final Map<String, Event> holders = new HashMap<>();

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case LEASED -> {
                Event before = holders.put(event.text("lease"), event);
                if (before != null
                        && !before.process().equals(event.process())
                        && before.number("until") > event.atUs()) {
                    addViolation(
                            event.atUs(),
                            event.process() + " acquired " + event.text("lease") + " while " + before.process()
                                    + " held it",
                            List.of(before, event));
                }
            }
            case RELEASED ->
                holders.computeIfPresent(
                        event.text("lease"), (lease, held) -> held.process().equals(event.process()) ? null : held);
            default -> {}
        }
    }
}
