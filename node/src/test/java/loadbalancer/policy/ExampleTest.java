package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The shortest use of a balancer: one server, one request. */
class ExampleTest {

    @Test
    void requestIsSentAndServed() {
        BalancerSettings settings = new BalancerSettings();
        settings.classes.add(new RequestClass(
                "page", 200_000, 0, 1_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        RecordedActions actions = new RecordedActions();
        Balancer balancer = new ServiceQBalancer(settings, 42, actions);
        long now = 0;
        balancer.onServers(
                now, ListKind.CACHED, List.of(new ServerEntry("10.0.0.1:80", 0, 0, ServerState.READY, 1, 0)));
        balancer.onRequest(now, new BalancerRequest(1, 0, -1, 1_000_000, 0, false, null));
        assertEquals(List.of("send 1 10.0.0.1:80"), actions.calls.subList(0, 1));
        now += 20_000;
        balancer.onOutcome(now, new AttemptOutcome(1, 0, AttemptResult.OK, 20_000, true, null));
        assertEquals(
                1,
                actions.calls.stream().filter(call -> !call.startsWith("wake")).count());
    }
}
