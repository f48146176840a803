package loadbalancer.harness.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Idempotency;

/**
 * Checks the attempts of each request. A request of a non-idempotent class that may have run is neither retried nor
 * rejected, as a rejection tells the client that it may repeat the request. A request has at most the allowed number of
 * attempts, no concurrent ones unless hedging is allowed, and none after it has ended.
 */
public final class Repeats extends RequestChecker {
    private final Scenario.Rules rules;
    private final Map<String, Idempotency> classes = new HashMap<>();

    public Repeats(Scenario scenario) {
        rules = scenario.rules();
        scenario.classes().forEach(c -> classes.put(c.name(), c.idempotency()));
    }

    @Override
    void onRequestEvent(TrackedRequest request, Event event) {
        boolean refused = event.kind() == Kind.ANSWER && event.text("answer").equals("REFUSED");
        if (event.kind() == Kind.SEND) {
            long sent =
                    request.events.stream().filter(e -> e.kind() == Kind.SEND).count();
            if (request.ended) {
                addViolation(event.atUs(), "attempt sent after the final response", request.events);
            }
            if (sent > rules.maxAttempts()) {
                addViolation(event.atUs(), "attempt " + sent + " of at most " + rules.maxAttempts(), request.events);
            }
            if (!rules.hedging() && sent - 1 > outcomes(request)) {
                addViolation(event.atUs(), "two attempts at once without hedging", request.events);
            }
        }
        if ((event.kind() == Kind.SEND || refused)
                && classes.get(request.className()) == Idempotency.NON_IDEMPOTENT
                && mayHaveRun(request.events.subList(0, request.events.size() - 1))) {
            addViolation(
                    event.atUs(),
                    (refused ? "refused" : "retried") + " although an earlier attempt may have run",
                    request.events);
        }
    }

    private static long outcomes(TrackedRequest request) {
        return request.events.stream().filter(e -> e.kind() == Kind.OUTCOME).count();
    }

    /** Whether any attempt may have run: it has no outcome yet, or one that does not rule it out. */
    private static boolean mayHaveRun(List<Event> events) {
        return events.stream()
                .filter(e -> e.kind() == Kind.SEND)
                .anyMatch(sent -> events.stream()
                        .noneMatch(e -> e.kind() == Kind.OUTCOME
                                && e.number("attempt") == sent.number("attempt")
                                && AttemptResult.valueOf(e.text("result")).neverRan));
    }
}
