package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** Records the actions that a rule requests from its node. */
final class RecordedActions implements BalancerActions {
    final List<String> calls = new ArrayList<>();

    @Override
    public void send(long requestId, String serverId, long startByUs, long endByUs) {
        calls.add("send " + requestId + " " + serverId);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        calls.add("cancel " + requestId + "/" + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        calls.add("reject " + requestId);
    }

    @Override
    public void fail(long requestId) {
        calls.add("fail " + requestId);
    }

    @Override
    public void wakeAt(long atUs) {
        calls.add("wake " + atUs);
    }

    @Override
    public void probe(String serverId) {
        calls.add("probe " + serverId);
    }

    @Override
    public void closeIdle(String serverId) {
        calls.add("close " + serverId);
    }

    @Override
    public void subscribe() {
        calls.add("subscribe");
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        calls.add("ejected " + serverId + " " + failures + " " + className);
    }

    @Override
    public void restored(String serverId, String className) {
        calls.add("restored " + serverId + " " + className);
    }
}
