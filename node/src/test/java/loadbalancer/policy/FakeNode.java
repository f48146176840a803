package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** A node for tests: a clock, a module and a record of what it asked for. */
final class FakeNode implements BalancerActions {
    static final int IDEMPOTENT = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int NON_IDEMPOTENT = 4;

    /** An attempt as it was asked for. */
    record Sent(long atUs, long request, int attempt, String server, long untilUs) {}

    final BalancerSettings settings;
    final List<Sent> sent = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> logged = new ArrayList<>();
    final List<String> closed = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    int subscriptions;
    long now = 1_000_000;
    private final List<Long> wakes = new ArrayList<>();
    private long nextId = 1;
    Balancer balancer;

    FakeNode(BalancerSettings settings, long seed) {
        this.settings = settings;
        balancer = new ServiceQBalancer(settings, seed, this);
    }

    FakeNode() {
        this(settings(), 7);
    }

    static BalancerSettings settings() {
        BalancerSettings set = new BalancerSettings();
        set.zones.add("here");
        set.zones.add("there");
        set.classes.add(requestClass("safe", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        set.classes.add(requestClass("keyed-all", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL));
        set.classes.add(requestClass("keyed-zone", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE));
        set.classes.add(requestClass("keyed-cell", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL));
        set.classes.add(requestClass("unsafe", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
        set.tenants.add(new Tenant("tenant"));
        set.maxAttempts = 4;
        set.hedging = true;
        set.cancellation = true;
        return set;
    }

    static RequestClass requestClass(String name, Idempotency repeat, DeduplicationScope group) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, repeat, group, 400_000, false);
    }

    static ServerEntry server(String id) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, 0);
    }

    /** Gives the first list: servers s0, s1, ... all warm, in one zone and cell. */
    FakeNode with(int servers) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(server("s" + i));
        }
        return list(ListKind.CACHED, entries);
    }

    FakeNode list(ListKind kind, List<ServerEntry> entries) {
        balancer.onServers(now, kind, entries);
        return this;
    }

    long ask(int classIndex) {
        return ask(classIndex, 1_000_000);
    }

    long ask(int classIndex, long remainingUs) {
        long id = nextId++;
        balancer.onRequest(now, new BalancerRequest(id, classIndex, 0, remainingUs, 0, false, null));
        return id;
    }

    long askFor(String key, int classIndex) {
        return askFor(key, classIndex, 1_000_000, false);
    }

    long askFor(String key, int classIndex, long remainingUs, boolean repeat) {
        long id = nextId++;
        balancer.onRequest(now, new BalancerRequest(id, classIndex, 0, remainingUs, 0, repeat, key));
        return id;
    }

    /** The newest attempt of a request, or null. */
    Sent last(long request) {
        for (int i = sent.size() - 1; i >= 0; i--) {
            if (sent.get(i).request == request) {
                return sent.get(i);
            }
        }
        return null;
    }

    int attempts(long request) {
        return (int) sent.stream().filter(s -> s.request == request).count();
    }

    long sentTo(String server) {
        return sent.stream().filter(s -> s.server.equals(server)).count();
    }

    /** Ends a request's newest attempt after some time. */
    void answer(long request, AttemptResult result, long afterUs) {
        advance(afterUs);
        Sent attempt = last(request);
        balancer.onOutcome(
                now,
                new AttemptOutcome(
                        request, attempt.attempt, result, now - attempt.atUs, result == AttemptResult.OK, null));
    }

    /** One request sent and ended; its server. */
    String serve(int classIndex, AttemptResult result, long afterUs) {
        long id = ask(classIndex);
        String server = last(id).server;
        answer(id, result, afterUs);
        return server;
    }

    /** Serves requests, of which this server fails all that it gets, until it is ejected. */
    void ejects(String server) {
        while (balancer.excludedServers() == 0) {
            long id = ask(IDEMPOTENT);
            boolean bad = last(id).server.equals(server);
            answer(id, bad ? AttemptResult.ERROR : AttemptResult.OK, 1_000);
            if (bad) {
                answer(id, AttemptResult.OK, 1_000);
            }
        }
    }

    /** Moves the clock on, firing the wake-ups that come due. */
    void advance(long us) {
        long until = now + us;
        while (true) {
            long first = wakes.stream().mapToLong(w -> w).min().orElse(Long.MAX_VALUE);
            if (first > until) {
                break;
            }
            wakes.remove(first);
            now = Math.max(now, first);
            balancer.onWake(now);
        }
        now = until;
    }

    @Override
    public void send(long requestId, String serverId, long beginByUs, long untilUs) {
        sent.add(new Sent(now, requestId, attempts(requestId), serverId, untilUs));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        refused.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void wakeAt(long atUs) {
        wakes.add(atUs);
    }

    @Override
    public void closeIdle(String serverId) {
        closed.add(serverId);
    }

    @Override
    public void probe(String serverId) {
        probed.add(serverId);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        logged.add(ejection(serverId, failures, className));
    }

    @Override
    public void restored(String serverId, String className) {
        logged.add(restoration(serverId, className));
    }

    /** What tests write down of an ejection. */
    static String ejection(String serverId, int failures, String className) {
        return "ejected server " + serverId + " after " + failures + " failures"
                + (className == null ? "" : " of class " + className);
    }

    /** What tests write down of the end of an ejection. */
    static String restoration(String serverId, String className) {
        return "restored server " + serverId + (className == null ? "" : " for a class");
    }
}
