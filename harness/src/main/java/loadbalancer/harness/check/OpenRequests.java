package loadbalancer.harness.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * Follows requests from their coming, and for a while beyond their end, as more may be heard of them then.
 */
abstract class OpenRequests extends Checker {
    /** Ended requests that are remembered: seconds of a large fleet. */
    private static final int MAX_ENDED = 50_000;

    private final Map<Long, Open> open = new HashMap<>();
    private final Map<Long, Open> ended = new LinkedHashMap<>();

    /** One request, with all that was heard of it. */
    static final class Open {
        final Event arrival;
        final List<Event> events = new ArrayList<>();
        boolean ended;

        Open(Event arrival) {
            this.arrival = arrival;
        }

        String cls() {
            return arrival.text("class");
        }
    }

    @Override
    public final void read(Event event) {
        switch (event.kind()) {
            case ASK -> {
                Open request = new Open(event);
                request.events.add(event);
                open.put(event.number("request"), request);
            }
            case SEND, OUTCOME, SERVED -> dispatch(event);
            case ANSWER, LEFT -> {
                Open of = dispatch(event);
                if (of != null && !of.ended) {
                    of.ended = true;
                    open.remove(event.number("request"));
                    ended.put(event.number("request"), of);
                    if (ended.size() > MAX_ENDED) {
                        ended.remove(ended.keySet().iterator().next());
                    }
                }
            }
            case KILLED -> open.values().removeIf(of -> of.arrival.process().equals(event.process()));
            default -> {}
        }
    }

    private Open dispatch(Event event) {
        long id = event.number("request");
        Open of = open.getOrDefault(id, ended.get(id));
        if (of != null) {
            of.events.add(event);
            onRequestEvent(of, event);
        }
        return of;
    }

    /** Requests that have no final answer yet. */
    final Iterable<Open> stillOpen() {
        return open.values();
    }

    /** An event about a request, which stands as the last among its events. */
    abstract void onRequestEvent(Open of, Event event);
}
