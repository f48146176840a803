package loadbalancer.harness.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Records what clients and servers see of each request, and judges it by the platform's rules. Thread-safe.
 *
 * <p>Each request on each connection is a sending of its own, which its target names. Its id may come again in another
 * one.
 */
final class RequestLedger {
    /** An attempt may begin 0.1 s after its client has left, and every limit of the platform is 50 ms longer. */
    static final long MAX_ATTEMPT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** A response is lost half a second after its time; every limit of the platform is 50 ms longer. */
    static final long MAX_LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(550);

    /** A response that a server begins this long before the deadline has its first bytes in time. */
    private static final long MAX_FORWARDING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private static final double NANOS_PER_MS = 1e6;
    private static final int MAX_REPORTED = 200;

    /** A client's connection, on which it may leave. */
    static final class ClientConnection {
        /** When the client left; {@link Long#MAX_VALUE} while it is there. */
        private volatile long leftAtNanos = Long.MAX_VALUE;
        /** When the call that ended the connection had returned; {@link Long#MAX_VALUE} until then. */
        private volatile long closedAtNanos = Long.MAX_VALUE;
    }

    private final long startNanos = System.nanoTime();
    private final SchedulingLag schedulingLag = new SchedulingLag();
    private final Map<String, ClientConnection> connections = new ConcurrentHashMap<>();
    /** How often each sending that has reached a server has run. */
    private final Map<String, Integer> runsBySending = new ConcurrentHashMap<>();

    /** When the response to each transfer first began. */
    private final Map<String, Long> begunNanosBySending = new ConcurrentHashMap<>();

    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Queue<Long> ordinaryWaits = new ConcurrentLinkedQueue<>();

    RequestLedger() {
        schedulingLag.start();
    }

    // ---------------------------------------------------------------- clients

    /** Registers a connection of a client. Its sendings are named by this name and a dot. */
    ClientConnection connect(String name) {
        return connections.computeIfAbsent(name, added -> new ClientConnection());
    }

    /** Records that the client leaves now; to be called right before it ends the connection. */
    void leave(ClientConnection connection) {
        connection.leftAtNanos = System.nanoTime();
    }

    /** Records that the call that ended the connection has returned; for the report of a violation. */
    void closed(ClientConnection connection) {
        connection.closedAtNanos = System.nanoTime();
    }

    /** Records the response to an ordinary request. */
    void onOrdinaryAnswer(String sending, RequestKind kind, long sentNanos, Wire.Message response) {
        ordinaryWaits.add(System.nanoTime() - sentNanos);
        onAnswer(sending, kind, sentNanos, response);
    }

    /** Records the response to a request that was sent whole at the given time. */
    void onAnswer(String sending, RequestKind kind, long sentNanos, Wire.Message response) {
        long waitedNanos = System.nanoTime() - sentNanos;
        if (waitedNanos > TimeUnit.MILLISECONDS.toNanos(kind.remainingMs()) + MAX_LATENESS_NANOS) {
            violate("late answer", sending, waitedNanos, "waited, for " + kind.remainingMs() + " ms at most");
        }
        if (response.status() == 200 && !response.text().equals(sending)) {
            violate("foreign answer", sending, waitedNanos, "waited, got the answer to " + response.text());
        }
    }

    /** Records that a request got no response although nothing excuses that. */
    void onLost(String sending, long sentNanos, String how) {
        violate("lost", sending, System.nanoTime() - sentNanos, "after it was sent: " + how);
    }

    /** Records that a request ended too late, whole or not. */
    void onLateEnd(String sending, long lateNanos, String how) {
        violate("late end", sending, lateNanos, "after its time: " + how);
    }

    /** Records that a long response was cut off, or not passed on, although its server went on writing it. */
    void onCutOff(String sending, long sentNanos, String how) {
        violate("cut off", sending, System.nanoTime() - sentNanos, "after it was sent: " + how);
    }

    /** Records that a server has written the beginning of a response that it will go on with. */
    void onResponseBegun(String sending) {
        begunNanosBySending.putIfAbsent(sending, System.nanoTime());
    }

    /** Returns whether the response to this sending began early enough for its first bytes to be in time. */
    boolean hasBegunBefore(String sending, long deadlineNanos) {
        Long begunNanos = begunNanosBySending.get(sending);
        return begunNanos != null && begunNanos <= deadlineNanos - MAX_FORWARDING_NANOS;
    }

    /** Returns whether a server has seen an attempt of this sending. */
    boolean isAttempted(String sending) {
        return runsBySending.containsKey(sending);
    }

    // ---------------------------------------------------------------- servers

    /** Records that a server has read an attempt, which began at the given time. */
    void onAttempt(String sending, long beganNanos, String server) {
        runsBySending.putIfAbsent(sending, 0);
        ClientConnection client = connections.get(sending.substring(0, sending.indexOf('.')));
        if (client == null) {
            violate("unknown request", sending, 0, "at " + server);
            return;
        }
        long delayNanos = beganNanos - client.leftAtNanos;
        if (client.leftAtNanos != Long.MAX_VALUE && delayNanos > MAX_ATTEMPT_DELAY_NANOS) {
            long closeNanos = client.closedAtNanos - client.leftAtNanos;
            violate(
                    "late attempt",
                    sending,
                    delayNanos,
                    String.format(
                            Locale.ROOT,
                            "after its client had left, which took %.0f ms, at %s; the soak ran %.0f ms late",
                            closeNanos / NANOS_PER_MS,
                            server,
                            schedulingLag.maxNanosSince(client.leftAtNanos) / NANOS_PER_MS));
        }
    }

    /** Records that a server runs a request. */
    void onRun(String sending, boolean idempotent) {
        int runs = runsBySending.merge(sending, 1, Integer::sum);
        if (runs > 1 && !idempotent) {
            violate("duplicate", sending, 0, "run " + runs + " times");
        }
    }

    // ---------------------------------------------------------------- results

    /** Records another violation, about a process. */
    void violate(String rule, String what) {
        violations.add(String.format(Locale.ROOT, "%.3f s %s: %s", secondsSinceStart(), rule, what));
    }

    private void violate(String rule, String sending, long nanos, String how) {
        if (violations.size() < MAX_REPORTED) {
            violate(rule, String.format(Locale.ROOT, "%s %.0f ms %s", sending, nanos / NANOS_PER_MS, how));
        }
    }

    private double secondsSinceStart() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    int attemptedSendings() {
        return runsBySending.size();
    }

    /** Returns how long the ordinary requests have waited, in milliseconds, ascending. */
    List<Double> ordinaryWaitsMs() {
        List<Double> waits = new ArrayList<>();
        ordinaryWaits.forEach(nanos -> waits.add(nanos / NANOS_PER_MS));
        waits.sort(null);
        return waits;
    }
}
