package loadbalancer.rig.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.rig.history.Event;

/**
 * Follows requests from their coming, and for a while beyond their end, as more may be heard of them then.
 */
abstract class OpenRequests extends Checker {
    /** Ended requests that are remembered: seconds of a large fleet. */
    private static final int MOST_ENDED = 50_000;

    private final Map<Long, Open> open = new HashMap<>();
    private final Map<Long, Open> ended = new LinkedHashMap<>();

    /** One request, with all that was heard of it. */
    static final class Open {
        final Event asked;
        final List<Event> events = new ArrayList<>();
        boolean ended;

        Open(Event asked) {
            this.asked = asked;
        }

        String cls() {
            return asked.text("class");
        }
    }

    @Override
    public final void read(Event event) {
        switch (event.kind()) {
            case ASK -> {
                Open asked = new Open(event);
                asked.events.add(event);
                open.put(event.number("request"), asked);
            }
            case SEND, OUTCOME, SERVED -> heard(event);
            case ANSWER, LEFT -> {
                Open of = heard(event);
                if (of != null && !of.ended) {
                    of.ended = true;
                    open.remove(event.number("request"));
                    ended.put(event.number("request"), of);
                    if (ended.size() > MOST_ENDED) {
                        ended.remove(ended.keySet().iterator().next());
                    }
                }
            }
            case KILLED -> open.values().removeIf(of -> of.asked.process().equals(event.process()));
            default -> {}
        }
    }

    private Open heard(Event event) {
        long id = event.number("request");
        Open of = open.getOrDefault(id, ended.get(id));
        if (of != null) {
            of.events.add(event);
            hear(of, event);
        }
        return of;
    }

    /** Requests that have no final answer yet. */
    final Iterable<Open> stillOpen() {
        return open.values();
    }

    /** An event about a request, which stands as the last among its events. */
    abstract void hear(Open of, Event event);
}
