package loadbalancer.policy;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * The rules of a balancer with servers in use, for tests of single rules. There is no balancer, and tests pass in the
 * time.
 */
final class RuleFixture {
    static final long START_US = 1_000_000;

    final BalancerSettings settings = FakeNode.settings();
    final RecordedActions actions = new RecordedActions();
    final BalancerRules rules;
    final BalancerState state;
    private long nextId = 1;

    RuleFixture(int servers) {
        this(servers, unchanged -> {});
    }

    /** Creates servers s0, s1, ... in use, warm, in one zone and cell, with settings changed by {@code change}. */
    RuleFixture(int servers, Consumer<BalancerSettings> change) {
        change.accept(settings);
        rules = new BalancerRules(settings, new SplittableRandom(1), actions);
        state = rules.state;
        rules.applySettings(settings);
        choose(IntStream.range(0, servers).mapToObj(i -> server("s" + i)).toArray(ServerRecord[]::new));
    }

    ServerRecord server(String id) {
        ServerRecord server = new ServerRecord(id);
        server.state = ServerState.READY;
        server.classHealth.extendTo(settings.classes);
        return server;
    }

    void choose(ServerRecord... available) {
        rules.serversInUse.choose(available, START_US);
        rules.outlierDetector.refresh();
    }

    PendingRequest request(int classIndex) {
        return request(classIndex, null);
    }

    PendingRequest request(int classIndex, String key) {
        return rules.requestFactory.create(
                new BalancerRequest(nextId++, classIndex, 0, 1_000_000, 0, false, key), settings, START_US);
    }

    /** Creates a request with one attempt in flight. */
    PendingRequest sent(int classIndex, ServerRecord server, long nowUs) {
        PendingRequest request = request(classIndex);
        request.addAttempt(server, nowUs);
        rules.serversInUse.acquire(server);
        return request;
    }

    /** Records responses of one class, so that its latency is known. */
    void learnLatency(int classIndex, long latencyUs) {
        for (int i = 0; i < 50; i++) {
            rules.latencies.get(classIndex).record(latencyUs);
        }
        rules.priority.invalidate();
    }
}
