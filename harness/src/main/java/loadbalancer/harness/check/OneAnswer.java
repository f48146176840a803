package loadbalancer.harness.check;

import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.Event.Kind;

/**
 * Every request that a node took has one final answer within its time and the grace, unless its client left
 * or the node was killed; what is served was served by an app server, for this request.
 */
public final class OneAnswer extends OpenRequests {
    private final long graceUs;

    public OneAnswer(long graceUs) {
        this.graceUs = graceUs;
    }

    private long dueUs(Open of) {
        return of.arrival.atUs() + of.arrival.number("left") + graceUs;
    }

    @Override
    void onRequestEvent(Open of, Event event) {
        if (event.kind() == Kind.LEFT && !of.ended && event.atUs() > dueUs(of)) {
            violated(event.atUs(), "its client gave up, due at " + dueUs(of) + " us", of.events);
        }
        if (event.kind() != Kind.ANSWER) {
            return;
        }
        if (of.ended && of.events.stream().anyMatch(e -> e.kind() == Kind.ANSWER && e != event)) {
            violated(event.atUs(), "a second final answer", of.events);
        } else if (!of.ended && event.atUs() > dueUs(of)) {
            violated(event.atUs(), "answered " + (event.atUs() - dueUs(of)) + " us too late", of.events);
        }
        if (event.text("answer").equals("ALIEN")) {
            violated(event.atUs(), "an answer made for another request", of.events);
        } else if (event.text("answer").equals("OK") && of.events.stream().noneMatch(e -> e.kind() == Kind.SERVED)) {
            violated(event.atUs(), "an answer that no app server made", of.events);
        }
    }

    @Override
    public void end(long nowUs) {
        for (Open of : stillOpen()) {
            if (nowUs > dueUs(of)) {
                violated(nowUs, "never answered, due at " + dueUs(of) + " us", of.events);
            }
        }
    }
}
