package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The requests that wait for a server, ordered by value, first come first served among those of equal value. They are
 * tried anew with each event and at each sweep. A request leaves the queue when a server takes it, when its client's
 * time is up, or when it is too late for an answer that earns anything.
 *
 * <p>The queue is bounded by the settings' maximum of open requests: beyond that clients would find no connection, so
 * the request of the lowest value makes room.
 *
 * <p>Single-threaded; sends and final answers are the owner's.
 */
final class PendingQueue {
    /** Shortest time between sweeps: long against the cost of one, short against any latency objective. */
    private static final long MIN_SWEEP_INTERVAL_US = 5_000;

    private static final int SWEEP_INTERVAL_TICKS = 2;
    /**
     * A request is late with less than so many mean latencies left until its objective, or with less than a share of
     * the objective if that is shorter.
     */
    private static final double LATE_MEAN_LATENCIES = 2;

    private static final double LATE_OBJECTIVE_SHARE = 0.8;
    /** Requests with a key that are tried in vain at each event and at each sweep; a bound on the work. */
    static final int KEYS_PER_EVENT = 4;

    static final int KEYS_PER_SWEEP = 64;

    /** Sends a request if a server may take it now; false if none may. */
    @FunctionalInterface
    interface Sender {
        boolean trySend(PendingRequest request, long nowUs);
    }

    /** Gives a request its final answer, which ends it. */
    @FunctionalInterface
    interface Answerer {
        void answerUnserved(PendingRequest request);
    }

    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;
    private final Sender sender;
    private final Answerer answerer;
    /** Holds requests that have ended or were sent until the next pass removes them. */
    private final List<PendingRequest> queue = new ArrayList<>();

    private long sweepIntervalUs;

    // The state of one pass.
    private boolean fullForAll;
    private boolean fullForNonIdempotent;
    private int keysToTry;

    PendingQueue(BalancerState state, PerClass<ClassLatency> latencies, Sender sender, Answerer answerer) {
        this.state = state;
        this.latencies = latencies;
        this.sender = sender;
        this.answerer = answerer;
    }

    void applySettings(BalancerSettings settings) {
        sweepIntervalUs = Math.max(MIN_SWEEP_INTERVAL_US, SWEEP_INTERVAL_TICKS * settings.tickUs);
    }

    /** Time until a queue that is not empty has to be swept again. */
    long sweepIntervalUs() {
        return sweepIntervalUs;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Adds a request; returns the one that has to make room for it, which may be the same, or null. */
    PendingRequest add(PendingRequest request) {
        request.enqueue();
        int position = queue.size();
        while (position > 0 && queue.get(position - 1).value < request.value) {
            position--;
        }
        queue.add(position, request);
        PendingRequest lowest = queue.get(queue.size() - 1);
        boolean hasRoom = queue.size() + state.totalInFlight <= state.settings.maxOpen;
        return hasRoom || !lowest.isQueued() ? null : lowest;
    }

    /** Whether the request would most likely be answered after its latency objective. */
    boolean isLate(PendingRequest request, long nowUs) {
        return request.objectiveAtUs - nowUs
                < Math.min(
                        LATE_OBJECTIVE_SHARE * request.latencyObjectiveUs,
                        LATE_MEAN_LATENCIES * latencies.get(request.classIndex).meanUs());
    }

    /**
     * Sends what waits as far as servers allow, and answers what has run out of time.
     *
     * @param maxKeys how many requests with a key may be tried in vain
     */
    void serve(int maxKeys, long nowUs) {
        fullForAll = false;
        fullForNonIdempotent = false;
        keysToTry = maxKeys;
        int remaining = 0;
        boolean unsorted = false;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest request = queue.get(i);
            if (!request.isQueued()) {
                continue;
            }
            boolean late = isLate(request, nowUs);
            if (hasNoUse(request, late, nowUs)) {
                answerer.answerUnserved(request);
            } else if (late && !request.valuedAsLate) {
                request.valuedAsLate = true;
                request.value *= request.requestClass.lateWeight();
                unsorted = true;
                queue.set(remaining++, request);
            } else if (!trySend(request, nowUs)) {
                queue.set(remaining++, request);
            }
        }
        queue.subList(remaining, queue.size()).clear();
        if (unsorted) {
            queue.sort(Comparator.comparingDouble(request -> -request.value));
        }
    }

    private boolean hasNoUse(PendingRequest request, boolean late, long nowUs) {
        boolean outOfTime = request.deadlineAtUs - nowUs <= sweepIntervalUs + state.settings.tickUs;
        boolean earnsNothing = late && request.requestClass.lateWeight() == 0;
        return outOfTime || earnsNothing || !RetryPolicy.mayRetry(request, nowUs);
    }

    /** Tries one request, unless one before it has shown in this pass that no server takes any of its kind. */
    private boolean trySend(PendingRequest request, long nowUs) {
        boolean nonIdempotent = request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        boolean isFull = fullForAll || nonIdempotent && fullForNonIdempotent;
        if (!isFull && sender.trySend(request, nowUs)) {
            return true;
        }
        // A request that was not sent yet may go anywhere, but for those which are not idempotent and ejected servers:
        // if it finds no server, nor does the next one. One with a key may go to few servers.
        if (request.attempts == 0 && (!request.hasKey() || --keysToTry <= 0)) {
            fullForNonIdempotent = true;
            fullForAll |= !nonIdempotent || request.hasKey();
        }
        return false;
    }
}
