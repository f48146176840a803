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
 * What may have run is neither sent again nor called harmless to repeat, unless its class is safe; no more
 * attempts than allowed, no two at once where that is not, and none once the request is over.
 */
public final class Repeats extends OpenRequests {
    private final Scenario.Rules rules;
    private final Map<String, Idempotency> classes = new HashMap<>();

    public Repeats(Scenario scenario) {
        rules = scenario.rules();
        scenario.classes().forEach(c -> classes.put(c.name(), c.idempotency()));
    }

    @Override
    void onRequestEvent(Open of, Event event) {
        boolean refused = event.kind() == Kind.ANSWER && event.text("answer").equals("REFUSED");
        if (event.kind() == Kind.SEND) {
            long sent = of.events.stream().filter(e -> e.kind() == Kind.SEND).count();
            if (of.ended) {
                violated(event.atUs(), "sent after its final answer", of.events);
            }
            if (sent > rules.maxAttempts()) {
                violated(event.atUs(), "attempt " + sent + " of " + rules.maxAttempts(), of.events);
            }
            if (!rules.hedging() && sent - 1 > outcomes(of)) {
                violated(event.atUs(), "two attempts at once", of.events);
            }
        }
        if ((event.kind() == Kind.SEND || refused)
                && classes.get(of.cls()) == Idempotency.NON_IDEMPOTENT
                && mayHaveRun(of.events.subList(0, of.events.size() - 1))) {
            violated(event.atUs(), (refused ? "refused" : "sent again") + " though it may have run", of.events);
        }
    }

    private static long outcomes(Open of) {
        return of.events.stream().filter(e -> e.kind() == Kind.OUTCOME).count();
    }

    /** Whether an attempt is not known never to have run. */
    private static boolean mayHaveRun(List<Event> events) {
        return events.stream()
                .filter(e -> e.kind() == Kind.SEND)
                .anyMatch(sent -> events.stream()
                        .noneMatch(e -> e.kind() == Kind.OUTCOME
                                && e.number("attempt") == sent.number("attempt")
                                && AttemptResult.valueOf(e.text("result")).neverRan));
    }
}
