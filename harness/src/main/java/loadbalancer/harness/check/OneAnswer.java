package loadbalancer.harness.check;

import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.Event.Kind;

/**
 * Checks that every request that a node received has exactly one final response before its deadline plus the grace
 * period, unless its client disconnected or the node was killed, and that a response with result OK was produced by an
 * app server for this request.
 */
public final class OneAnswer extends RequestChecker {
    private final long graceUs;

    public OneAnswer(long graceUs) {
        this.graceUs = graceUs;
    }

    private long dueUs(TrackedRequest request) {
        return request.arrival.atUs() + request.arrival.number("left") + graceUs;
    }

    @Override
    void onRequestEvent(TrackedRequest request, Event event) {
        if (event.kind() == Kind.LEFT && !request.ended && event.atUs() > dueUs(request)) {
            addViolation(event.atUs(), "client gave up, response due at " + dueUs(request) + " us", request.events);
        }
        if (event.kind() != Kind.ANSWER) {
            return;
        }
        if (request.ended && request.events.stream().anyMatch(e -> e.kind() == Kind.ANSWER && e != event)) {
            addViolation(event.atUs(), "second final response", request.events);
        } else if (!request.ended && event.atUs() > dueUs(request)) {
            addViolation(event.atUs(), "response " + (event.atUs() - dueUs(request)) + " us too late", request.events);
        }
        if (event.text("answer").equals("ALIEN")) {
            addViolation(event.atUs(), "response made for another request", request.events);
        } else if (event.text("answer").equals("OK")
                && request.events.stream().noneMatch(e -> e.kind() == Kind.SERVED)) {
            addViolation(event.atUs(), "response that no app server made", request.events);
        }
    }

    @Override
    public void end(long nowUs) {
        for (TrackedRequest request : openRequests()) {
            if (nowUs > dueUs(request)) {
                addViolation(nowUs, "no response, due at " + dueUs(request) + " us", request.events);
            }
        }
    }
}
