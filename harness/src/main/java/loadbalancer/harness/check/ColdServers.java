package loadbalancer.harness.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.harness.history.Event;

/**
 * No cold server is pushed over by nodes that had been told of its start: they made up two thirds of what
 * felled it.
 */
public final class ColdServers extends Checker {
    private static final double BLAMED_FROM = 2.0 / 3;

    private final long deduplicationWindowUs;
    private final Map<String, Long> startedAt = new HashMap<>();
    private final Map<String, Set<String>> notified = new HashMap<>();
    private final Map<String, ArrayDeque<Event>> sent = new HashMap<>();

    public ColdServers(long deduplicationWindowUs) {
        this.deduplicationWindowUs = deduplicationWindowUs;
    }

    @Override
    public void read(Event event) {
        switch (event.kind()) {
            case STARTED -> {
                if (event.has("zone") && event.number("at") > 0) {
                    startedAt.put(event.process(), event.number("at"));
                    notified.put(event.process(), new HashSet<>());
                    sent.put(event.process(), new ArrayDeque<>());
                }
            }
            case TOLD -> {
                Long at = startedAt.get(event.text("server"));
                if (at != null && event.number("started") >= at) {
                    notified.get(event.text("server")).add(event.process());
                }
            }
            case SEND -> {
                ArrayDeque<Event> to = sent.get(event.text("server"));
                if (to != null) {
                    to.add(event);
                    while (to.peek().atUs() < event.atUs() - deduplicationWindowUs) {
                        to.poll();
                    }
                }
            }
            case FELL -> judge(event);
            default -> {}
        }
    }

    private void judge(Event fell) {
        Set<String> knew = notified.get(fell.process());
        List<Event> all = sent.get(fell.process()).stream()
                .filter(e -> e.atUs() >= fell.atUs() - deduplicationWindowUs)
                .toList();
        List<Event> byThose =
                all.stream().filter(e -> knew.contains(e.process())).toList();
        if (byThose.size() > BLAMED_FROM * all.size()) {
            violated(
                    fell.atUs(),
                    byThose.size() + " of " + all.size() + " sends that felled it came from nodes told of its start",
                    List.of(fell));
        }
    }
}
