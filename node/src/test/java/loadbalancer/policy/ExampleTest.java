package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example, compiled and run. */
class ExampleTest {

    /** A proxy's side of the interface: here it only writes down what it is asked for. */
    static final class Proxy implements BalancerActions {
        final List<String> asked = new ArrayList<>();

        @Override
        public void send(long requestId, String serverId, long beginByUs, long untilUs) {
            asked.add("send " + requestId + " to " + serverId);
        }

        @Override
        public void cancel(long requestId, int attempt) {
            asked.add("cancel " + requestId + "/" + attempt);
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            asked.add("refuse " + requestId);
        }

        @Override
        public void fail(long requestId) {
            asked.add("fail " + requestId);
        }

        @Override
        public void wakeAt(long atUs) {}

        @Override
        public void probe(String serverId) {}

        @Override
        public void closeIdle(String serverId) {}

        @Override
        public void subscribe() {}

        @Override
        public void ejected(String serverId, int failures, String className) {}

        @Override
        public void restored(String serverId, String className) {}
    }

    @Test
    void requestIsSentAndServed() {
        BalancerSettings settings = new BalancerSettings();
        settings.classes.add(new RequestClass(
                "page", 200_000, 0, 1_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        Proxy proxy = new Proxy();
        Balancer balancer = new ServiceQBalancer(settings, 42, proxy);
        long now = 0;
        balancer.onServers(
                now, ListKind.CACHED, List.of(new ServerEntry("10.0.0.1:80", 0, 0, ServerState.READY, 1, 0)));
        balancer.onRequest(now, new BalancerRequest(1, 0, -1, 1_000_000, 0, false, null));
        assertEquals(List.of("send 1 to 10.0.0.1:80"), proxy.asked);
        now += 20_000;
        balancer.onOutcome(now, new AttemptOutcome(1, 0, AttemptResult.OK, 20_000, true, null));
        assertEquals(1, proxy.asked.size());
    }
}
