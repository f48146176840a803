package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/** No two processes hold a lease at once. {@code LEASED} has lease and until, {@code RELEASED} has lease. */
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
                    violated(
                            event.atUs(),
                            event.process() + " took " + event.text("lease") + " which " + before.process() + " held",
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
