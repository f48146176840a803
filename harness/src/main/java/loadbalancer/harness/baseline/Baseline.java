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
 * What all built-in policies have in common: they keep the rules, send each request at once to the server
 * that they choose, and pass on what may be repeated to another choice. They do without limits, queues,
 * ejection and slow start.
 */
abstract class Baseline implements Balancer {
    private final BalancerActions out;
    private BalancerSettings settings;
    private final Map<String, ServerEntry> listed = new LinkedHashMap<>();
    private Set<String> cordoned = Set.of();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<String, Integer> inFlight = new HashMap<>();
    /** What may be sent to, in the list's order. */
    private List<String> ready = List.of();

    private static final class Call {
        private final BalancerRequest request;
        private final RequestClass cls;
        private final ArrayDeque<String> servers = new ArrayDeque<>();
        private boolean mayHaveRun;
        private int outstanding;
        private boolean ended;

        Call(BalancerRequest request, RequestClass cls) {
            this.request = request;
            this.cls = cls;
        }
    }

    Baseline(BalancerSettings settings, BalancerActions out) {
        this.settings = settings;
        this.out = out;
    }

    /** Which of these, at least one, the request goes to. */
    abstract String choose(List<String> among);

    /** How an attempt ended, for those that learn. */
    void learn(String server, boolean served) {
        // Most do not.
    }

    /** Own requests in flight at a server. */
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
        chooseReady();
    }

    private void chooseReady() {
        ready = listed.values().stream()
                .filter(e -> e.state() == ServerState.READY && !cordoned.contains(e.id()))
                .map(ServerEntry::id)
                .toList();
    }

    @Override
    public void onCordoned(long nowUs, Set<String> serverIds) {
        cordoned = serverIds;
        chooseReady();
    }

    @Override
    public void onRequest(long nowUs, BalancerRequest request) {
        Call call = new Call(request, settings.classes.get(request.classIndex()));
        calls.put(request.id(), call);
        sendOn(call);
    }

    private void sendOn(Call call) {
        List<String> among = new ArrayList<>(ready);
        among.removeAll(call.servers);
        if (among.isEmpty() || call.servers.size() >= settings.maxAttempts) {
            call.ended = true;
            if (call.mayHaveRun && call.cls.idempotency() != Idempotency.IDEMPOTENT) {
                out.fail(call.request.id());
            } else {
                out.reject(call.request.id(), 0);
            }
            forgetIfOver(call);
            return;
        }
        String server = choose(among);
        call.servers.add(server);
        call.outstanding++;
        inFlight.merge(server, 1, Integer::sum);
        out.send(call.request.id(), server, Long.MAX_VALUE, 0);
    }

    @Override
    public void onOutcome(long nowUs, AttemptOutcome outcome) {
        Call call = calls.get(outcome.requestId());
        if (call == null) {
            return;
        }
        call.outstanding--;
        String server = call.servers.peekLast();
        inFlight.merge(server, -1, Integer::sum);
        learn(server, outcome.result() == AttemptResult.OK);
        call.mayHaveRun |= !outcome.result().neverRan;
        if (outcome.requestEnded()) {
            call.ended = true;
        } else if (call.mayHaveRun && call.cls.idempotency() != Idempotency.IDEMPOTENT
                || outcome.result() == AttemptResult.TIMEOUT) {
            call.ended = true;
            out.fail(call.request.id());
        } else if (!call.ended) {
            sendOn(call);
        }
        forgetIfOver(call);
    }

    private void forgetIfOver(Call call) {
        if (call.ended && call.outstanding == 0) {
            calls.remove(call.request.id());
        }
    }

    @Override
    public void onClientGone(long nowUs, long requestId) {
        Call call = calls.get(requestId);
        if (call != null) {
            call.ended = true;
            for (int i = 0; i < call.servers.size() && settings.cancellation; i++) {
                out.cancel(requestId, i);
            }
            forgetIfOver(call);
        }
    }

    @Override
    public void onSettings(long nowUs, BalancerSettings other) {
        settings = other;
    }

    @Override
    public void onListFailed(long nowUs) {
        // The old list stands.
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attempt) {
        // Nothing changes for it.
    }

    @Override
    public void onWake(long nowUs) {
        // It asks for none.
    }

    @Override
    public int excludedServers() {
        return cordoned.size();
    }
}
