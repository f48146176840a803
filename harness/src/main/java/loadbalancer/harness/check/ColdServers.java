package loadbalancer.harness.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.harness.history.Event;

/**
 * Checks that no cold app server collapses under the load of nodes that knew it was cold. It is a violation if more
 * than two thirds of the attempts in the window before the collapse came from nodes that had been notified of its
 * start.
 */
public final class ColdServers extends Checker {
    private static final double MAX_NOTIFIED_SHARE = 2.0 / 3;

    private final long overloadWindowUs;
    /** Start of each app server, in microseconds, if it started after the beginning of the run. */
    private final Map<String, Long> startedAt = new HashMap<>();
    /** By app server: the nodes that were notified of its latest start. */
    private final Map<String, Set<String>> notified = new HashMap<>();
    /** By app server: the attempts sent to it within the window. */
    private final Map<String, ArrayDeque<Event>> sent = new HashMap<>();

    public ColdServers(long overloadWindowUs) {
        this.overloadWindowUs = overloadWindowUs;
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
                    while (to.peek().atUs() < event.atUs() - overloadWindowUs) {
                        to.poll();
                    }
                }
            }
            case FELL -> checkCollapse(event);
            default -> {}
        }
    }

    private void checkCollapse(Event collapse) {
        Set<String> notifiedNodes = notified.get(collapse.process());
        List<Event> all = sent.get(collapse.process()).stream()
                .filter(e -> e.atUs() >= collapse.atUs() - overloadWindowUs)
                .toList();
        List<Event> byNotified =
                all.stream().filter(e -> notifiedNodes.contains(e.process())).toList();
        if (byNotified.size() > MAX_NOTIFIED_SHARE * all.size()) {
            addViolation(
                    collapse.atUs(),
                    byNotified.size() + " of " + all.size()
                            + " attempts before its collapse came from nodes notified of its start",
                    List.of(collapse));
        }
    }
}
