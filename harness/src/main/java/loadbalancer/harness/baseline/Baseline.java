package loadbalancer.harness.baseline;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.BalancerRequest;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;

/**
 * Base of all built-in policies. They keep the rules, send each request at once to a chosen server, and retry at
 * another server where that is allowed. They have no limits, queues, ejection or slow start.
 */
abstract class Baseline implements Balancer {
    private final BalancerActions actions;
    private BalancerSettings settings;
    private final Map<String, ServerEntry> listed = new LinkedHashMap<>();
    private Set<String> cordoned = Set.of();
    private final Map<Long, RequestState> states = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    /** Ids of the servers that may receive requests, in the order of the list. */
    private List<String> ready = List.of();

    private static final class RequestState {
        private final BalancerRequest request;
        private final RequestClass cls;
        private final ArrayDeque<String> servers = new ArrayDeque<>();
        private boolean mayHaveRun;
        private int attemptsInFlight;
        private boolean ended;

        RequestState(BalancerRequest request, RequestClass cls) {
            this.request = request;
            this.cls = cls;
        }
    }

    Baseline(BalancerSettings settings, BalancerActions actions) {
        this.settings = settings;
        this.actions = actions;
    }

    /** Chooses the server of an attempt; there is at least one candidate. */
    abstract String choose(List<String> candidates);

    /** Receives the result of an attempt, for policies that adapt to it. */
    void onResult(String server, boolean served) {
        // Most policies ignore results.
    }

    /** Returns the number of this node's attempts in flight at a server. */
    final int inFlight(String server) {
        return inFlight.getOrDefault(server, 0);
    }

    @Override
    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
        if (kind != ListKind.CHANGES) {
            listed.clear();
        }
        for (ServerEntry entry : entries) {
            if (entry.state() == ServerState.GONE) {
                listed.remove(entry.id());
            } else {
                listed.put(entry.id(), entry);
            }
        }
        updateReady();
    }

    private void updateReady() {
        ready = listed.values().stream()
                .filter(e -> e.state() == ServerState.READY && !cordoned.contains(e.id()))
                .map(ServerEntry::id)
                .toList();
    }

    @Override
    public void onCordoned(long nowUs, Set<String> serverIds) {
        cordoned = serverIds;
        updateReady();
    }

    @Override
    public void onRequest(long nowUs, BalancerRequest request) {
        RequestState state = new RequestState(request, settings.classes.get(request.classIndex()));
        states.put(request.id(), state);
        sendNext(state);
    }

    private void sendNext(RequestState state) {
        List<String> candidates = new ArrayList<>(ready);
        candidates.removeAll(state.servers);
        if (candidates.isEmpty() || state.servers.size() >= settings.maxAttempts) {
            state.ended = true;
            if (state.mayHaveRun && state.cls.idempotency() != Idempotency.IDEMPOTENT) {
                actions.fail(state.request.id());
            } else {
                actions.reject(state.request.id(), 0);
            }
            removeIfFinished(state);
            return;
        }
        String server = choose(candidates);
        state.servers.add(server);
        state.attemptsInFlight++;
        inFlight.merge(server, 1, Integer::sum);
        actions.send(state.request.id(), server, Long.MAX_VALUE, 0);
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        RequestState state = states.get(outcome.requestId());
        if (state == null) {
            return;
        }
        state.attemptsInFlight--;
        String server = state.servers.peekLast();
        inFlight.merge(server, -1, Integer::sum);
        onResult(server, outcome.result() == AttemptResult.OK);
        state.mayHaveRun |= !outcome.result().neverRan;
        if (outcome.requestEnded()) {
            state.ended = true;
        } else if (state.mayHaveRun && state.cls.idempotency() != Idempotency.IDEMPOTENT
                || outcome.result() == AttemptResult.TIMEOUT) {
            state.ended = true;
            actions.fail(state.request.id());
        } else if (!state.ended) {
            sendNext(state);
        }
        removeIfFinished(state);
    }

    private void removeIfFinished(RequestState state) {
        if (state.ended && state.attemptsInFlight == 0) {
            states.remove(state.request.id());
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        RequestState state = states.get(requestId);
        if (state != null) {
            state.ended = true;
            for (int i = 0; i < state.servers.size() && settings.cancellation; i++) {
                actions.cancel(requestId, i);
            }
            removeIfFinished(state);
        }
    }

    @Override
    public void onSettings(long nowUs, BalancerSettings newSettings) {
        settings = newSettings;
    }

    @Override
    public void onListFailed(long nowUs) {
        // The previous list stays in use.
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        // Not used by these policies.
    }

    @Override
    public void onWake(long nowUs) {
        // These policies never schedule a wake-up.
    }

    @Override
    public int excludedServers() {
        return cordoned.size();
    }
}
