package loadbalancer.harness.run;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import loadbalancer.harness.simulation.Policy;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import loadbalancer.policy.ServiceQBalancer;

/**
 * A wrapper that seeds one fault into the balancer. It stands between the balancer and its node and forwards all calls
 * that a subclass does not override.
 */
class FaultyBalancer implements Balancer, BalancerActions {
    Balancer inner;
    BalancerActions out;
    BalancerSettings settings;
    long now;
    /** Requests of the node, by id. */
    final Map<Long, BalancerRequest> requests = new HashMap<>();

    /** App server of the latest attempt, by request id. */
    final Map<Long, String> sentTo = new HashMap<>();

    final Map<String, ServerEntry> listed = new TreeMap<>();

    static Policy policy(Supplier<FaultyBalancer> fault) {
        return (settings, seed, actions, servers) -> {
            FaultyBalancer faulty = fault.get();
            faulty.out = actions;
            faulty.settings = settings;
            faulty.inner = new ServiceQBalancer(faulty.adjustSettings(settings), seed, faulty);
            return faulty;
        };
    }

    BalancerSettings adjustSettings(BalancerSettings original) {
        return original;
    }

    /** Returns a ready server other than this one. */
    String another(String server) {
        return listed.values().stream()
                .filter(e -> e.state() == ServerState.READY && !e.id().equals(server))
                .map(ServerEntry::id)
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        now = nowUs;
        entries.forEach(e -> listed.put(e.id(), e));
        inner.onServers(nowUs, kind, new ArrayList<>(entries));
    }

    @Override
    public void onListFailed(long nowUs) {
        inner.onListFailed(nowUs);
    }

    @Override
    public void onRequest(long nowUs, BalancerRequest request) {
        now = nowUs;
        requests.put(request.id(), request);
        inner.onRequest(nowUs, request);
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        now = nowUs;
        inner.onOutcome(nowUs, outcome);
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        inner.onFirstByte(nowUs, requestId, attempt);
    }

    @Override
    public void onResponseProgress(long nowUs, long requestId, int attempt) {
        inner.onResponseProgress(nowUs, requestId, attempt);
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        now = nowUs;
        inner.onClientGone(nowUs, requestId);
    }

    @Override
    public void onWake(long nowUs) {
        now = nowUs;
        inner.onWake(nowUs);
    }

    @Override
    public void onSettings(long nowUs, BalancerSettings other) {
        inner.onSettings(nowUs, other);
    }

    @Override
    public void onCordoned(long nowUs, Set<String> serverIds) {
        now = nowUs;
        inner.onCordoned(nowUs, serverIds);
    }

    @Override
    public int excludedServers() {
        return inner.excludedServers();
    }

    @Override
    public void send(long requestId, String serverId, long startByUs, long endByUs) {
        sentTo.put(requestId, serverId);
        out.send(requestId, serverId, startByUs, endByUs);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        out.cancel(requestId, attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        out.reject(requestId, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        out.fail(requestId);
    }

    @Override
    public void wakeAt(long atUs) {
        out.wakeAt(atUs);
    }

    @Override
    public void probe(String serverId) {
        out.probe(serverId);
    }

    @Override
    public void closeIdle(String serverId) {
        out.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        out.subscribe();
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        out.ejected(serverId, failures, className);
    }

    @Override
    public void restored(String serverId, String className) {
        out.restored(serverId, className);
    }
}
