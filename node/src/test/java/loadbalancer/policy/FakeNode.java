package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** A node for tests: a clock, a balancer and a record of the balancer's actions. */
final class FakeNode implements BalancerActions {
    static final int IDEMPOTENT = 0;
    static final int KEYED_ALL = 1;
    static final int KEYED_ZONE = 2;
    static final int KEYED_CELL = 3;
    static final int NON_IDEMPOTENT = 4;

    /** An attempt that the balancer has sent. */
    record Sent(long atUs, long request, int attempt, String server, long endByUs) {}

    final BalancerSettings settings;
    final List<Sent> sent = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> ejectionLog = new ArrayList<>();
    final List<String> closedIdle = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    int subscriptions;
    long now = 1_000_000;
    private final List<Long> wakeUps = new ArrayList<>();
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
        BalancerSettings settings = new BalancerSettings();
        settings.zones.add("here");
        settings.zones.add("there");
        settings.classes.add(requestClass("safe", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        settings.classes.add(requestClass("keyed-all", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ALL));
        settings.classes.add(requestClass("keyed-zone", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE));
        settings.classes.add(requestClass("keyed-cell", Idempotency.IDEMPOTENT_WITH_KEY, DeduplicationScope.CELL));
        settings.classes.add(requestClass("unsafe", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
        settings.tenants.add(new Tenant("tenant"));
        settings.maxAttempts = 4;
        settings.hedging = true;
        settings.cancellation = true;
        return settings;
    }

    static RequestClass requestClass(String name, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, idempotency, scope, 400_000, false);
    }

    static ServerEntry server(String id) {
        return new ServerEntry(id, 0, 0, ServerState.READY, 1, 0);
    }

    /** Delivers the first list: servers s0, s1, ... all warm, in one zone and cell. */
    FakeNode withServers(int servers) {
        List<ServerEntry> entries = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            entries.add(server("s" + i));
        }
        return deliverList(ListKind.CACHED, entries);
    }

    FakeNode deliverList(ListKind kind, List<ServerEntry> entries) {
        balancer.onServers(now, kind, entries);
        return this;
    }

    long request(int classIndex) {
        return request(classIndex, 1_000_000);
    }

    long request(int classIndex, long remainingUs) {
        long id = nextId++;
        balancer.onRequest(now, new BalancerRequest(id, classIndex, 0, remainingUs, 0, false, null));
        return id;
    }

    long requestWithKey(String key, int classIndex) {
        return requestWithKey(key, classIndex, 1_000_000, false);
    }

    long requestWithKey(String key, int classIndex, long remainingUs, boolean retry) {
        long id = nextId++;
        balancer.onRequest(now, new BalancerRequest(id, classIndex, 0, remainingUs, 0, retry, key));
        return id;
    }

    /** The last attempt of a request, or null. */
    Sent lastAttempt(long request) {
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

    /** Ends the last attempt of a request after this time. */
    void endAttempt(long request, AttemptResult result, long afterUs) {
        advance(afterUs);
        Sent attempt = lastAttempt(request);
        balancer.onOutcome(
                now,
                new AttemptOutcome(
                        request, attempt.attempt, result, now - attempt.atUs, result == AttemptResult.OK, null));
    }

    /** Sends one request and ends its attempt; returns the server that received it. */
    String completeRequest(int classIndex, AttemptResult result, long afterUs) {
        long id = request(classIndex);
        String server = lastAttempt(id).server;
        endAttempt(id, result, afterUs);
        return server;
    }

    /** Sends requests, all of which this server fails, until it is ejected. */
    void failUntilEjected(String server) {
        while (balancer.excludedServers() == 0) {
            long id = request(IDEMPOTENT);
            boolean toFailing = lastAttempt(id).server.equals(server);
            endAttempt(id, toFailing ? AttemptResult.ERROR : AttemptResult.OK, 1_000);
            if (toFailing) {
                endAttempt(id, AttemptResult.OK, 1_000);
            }
        }
    }

    /** Advances the clock and fires the wake-ups that are due. */
    void advance(long us) {
        long until = now + us;
        while (true) {
            long first = wakeUps.stream().mapToLong(w -> w).min().orElse(Long.MAX_VALUE);
            if (first > until) {
                break;
            }
            wakeUps.remove(first);
            now = Math.max(now, first);
            balancer.onWake(now);
        }
        now = until;
    }

    @Override
    public void send(long requestId, String serverId, long startByUs, long endByUs) {
        sent.add(new Sent(now, requestId, attempts(requestId), serverId, endByUs));
    }

    @Override
    public void cancel(long requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        rejected.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void wakeAt(long atUs) {
        wakeUps.add(atUs);
    }

    @Override
    public void closeIdle(String serverId) {
        closedIdle.add(serverId);
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
        ejectionLog.add(ejection(serverId, failures, className));
    }

    @Override
    public void restored(String serverId, String className) {
        ejectionLog.add(restoration(serverId, className));
    }

    /** The log line of an ejection. */
    static String ejection(String serverId, int failures, String className) {
        return "ejected server " + serverId + " after " + failures + " failures"
                + (className == null ? "" : " of class " + className);
    }

    /** The log line of the end of an ejection. */
    static String restoration(String serverId, String className) {
        return "restored server " + serverId + (className == null ? "" : " for a class");
    }
}
