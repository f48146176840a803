package loadbalancer.harness.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;

/**
 * A checker that follows each request from its arrival until some time after its end, as later events may refer to it.
 */
abstract class RequestChecker extends Checker {
    /** Maximum number of ended requests that are kept: those of several seconds of a large fleet. */
    private static final int MAX_ENDED = 50_000;

    private final Map<Long, TrackedRequest> open = new HashMap<>();
    private final Map<Long, TrackedRequest> ended = new LinkedHashMap<>();

    /** A request and its events so far. */
    static final class TrackedRequest {
        final Event arrival;
        final List<Event> events = new ArrayList<>();
        boolean ended;

        TrackedRequest(Event arrival) {
            this.arrival = arrival;
        }

        String className() {
            return arrival.text("class");
        }
    }

    @Override
    public final void read(Event event) {
        switch (event.kind()) {
            case ASK -> {
                TrackedRequest request = new TrackedRequest(event);
                request.events.add(event);
                open.put(event.number("request"), request);
            }
            case SEND, OUTCOME, SERVED -> dispatch(event);
            case ANSWER, LEFT -> {
                TrackedRequest request = dispatch(event);
                if (request != null && !request.ended) {
                    request.ended = true;
                    open.remove(event.number("request"));
                    ended.put(event.number("request"), request);
                    if (ended.size() > MAX_ENDED) {
                        ended.remove(ended.keySet().iterator().next());
                    }
                }
            }
            case KILLED ->
                open.values().removeIf(request -> request.arrival.process().equals(event.process()));
            default -> {}
        }
    }

    private TrackedRequest dispatch(Event event) {
        long id = event.number("request");
        TrackedRequest request = open.getOrDefault(id, ended.get(id));
        if (request != null) {
            request.events.add(event);
            onRequestEvent(request, event);
        }
        return request;
    }

    /** Returns the requests without a final response. */
    final Iterable<TrackedRequest> openRequests() {
        return open.values();
    }

    /** Handles an event of a request; it is already the last of the events of the request. */
    abstract void onRequestEvent(TrackedRequest request, Event event);
}
