package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests that wait for a server, ordered by value, and by arrival among those of equal value. A pass over the queue
 * tries to send them: after each outcome, after each change of servers, cordons or settings, after an arrival that had
 * to wait, and at each wake-up.
 *
 * <p>A request leaves the queue when it is sent to a server. A request that is withdrawn, for example because its
 * client left, leaves it at the next pass. A queued request gets a final response when its deadline is near, when it is
 * late and a late response to its class has no value, or when it may no longer be sent (see {@link RetryPolicy}). That
 * response is a rejection if the client may safely retry, else a failure. A late request whose class gives late
 * responses some value stays, with its value reduced once.
 *
 * <p>Queued requests and attempts in flight together are bounded by {@link BalancerSettings#maxOpen}, because
 * clients have no connections for more. Beyond that the queued request with the lowest value gets its final response.
 * Withdrawn requests count until the next pass removes them, so a request may be displaced although the bound is not
 * reached.
 */
final class PendingQueue {
    /**
     * Shortest interval between sweeps: long compared to the cost of a sweep, short compared to any latency objective.
     */
    private static final long MIN_SWEEP_INTERVAL_US = 5_000;

    /** Ticks of the node between sweeps, if that is longer. */
    private static final int SWEEP_INTERVAL_TICKS = 2;
    /**
     * A request is late if the time until its objective is less than this many mean latencies of its class and less
     * than {@link #LATE_OBJECTIVE_SHARE} of the objective.
     */
    private static final double LATE_MEAN_LATENCIES = 2;

    /** Share of the latency objective; see {@link #LATE_MEAN_LATENCIES}. */
    private static final double LATE_OBJECTIVE_SHARE = 0.8;
    /**
     * Requests with a key that may fail to find a server per event before no further ones are tried; bounds the work.
     */
    static final int MAX_KEYED_TRIES_PER_EVENT = 4;

    /** The same number per sweep. */
    static final int MAX_KEYED_TRIES_PER_SWEEP = 64;

    /** Sends a request if a server may take it now; false if none may. */
    @FunctionalInterface
    interface Sender {
        boolean trySend(PendingRequest request, long nowUs);
    }

    /** Gives a request the final response that ends it, as no server has served it. */
    @FunctionalInterface
    interface Responder {
        void respondUnserved(PendingRequest request);
    }

    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;
    private final Sender sender;
    private final Responder responder;
    /** May still contain requests that were sent or have ended; the next pass removes them. */
    private final List<PendingRequest> queue = new ArrayList<>();

    private long sweepIntervalUs;

    // State of the current pass.
    private boolean fullForAll;
    private boolean fullForNonIdempotent;
    private int keyedTriesLeft;

    PendingQueue(BalancerState state, PerClass<ClassLatency> latencies, Sender sender, Responder responder) {
        this.state = state;
        this.latencies = latencies;
        this.sender = sender;
        this.responder = responder;
    }

    void applySettings(BalancerSettings settings) {
        sweepIntervalUs = Math.max(MIN_SWEEP_INTERVAL_US, SWEEP_INTERVAL_TICKS * settings.tickUs);
    }

    /** Longest time until a non-empty queue must be swept again. */
    long sweepIntervalUs() {
        return sweepIntervalUs;
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Adds a request. If the bound is exceeded, counting entries that have already ended, returns the request with the
     * lowest value, which may be the one added. Returns null if the bound holds, or if the last entry has ended.
     */
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

    /** Whether the response to the request would probably come after its latency objective. */
    boolean isLate(PendingRequest request, long nowUs) {
        return request.objectiveAtUs - nowUs
                < Math.min(
                        LATE_OBJECTIVE_SHARE * request.latencyObjectiveUs,
                        LATE_MEAN_LATENCIES * latencies.get(request.classIndex).meanUs());
    }

    /**
     * Makes a pass over the queue: sends requests as far as servers accept them, and ends those that may wait no
     * longer.
     *
     * @param maxKeyedTries number of requests with a key that may fail to find a server
     */
    void serve(int maxKeyedTries, long nowUs) {
        fullForAll = false;
        fullForNonIdempotent = false;
        keyedTriesLeft = maxKeyedTries;
        int remaining = 0;
        boolean unsorted = false;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest request = queue.get(i);
            if (!request.isQueued()) {
                continue;
            }
            boolean late = isLate(request, nowUs);
            if (shouldGiveUp(request, late, nowUs)) {
                responder.respondUnserved(request);
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

    private boolean shouldGiveUp(PendingRequest request, boolean late, long nowUs) {
        boolean deadlineIsNear = request.deadlineAtUs - nowUs <= sweepIntervalUs + state.settings.tickUs;
        boolean hasNoLateValue = late && request.requestClass.lateWeight() == 0;
        return deadlineIsNear || hasNoLateValue || !RetryPolicy.mayRetry(request, nowUs);
    }

    /** Tries to send one request, unless an earlier one of its kind has failed to find a server in this pass. */
    private boolean trySend(PendingRequest request, long nowUs) {
        boolean nonIdempotent = request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        boolean isFull = fullForAll || nonIdempotent && fullForNonIdempotent;
        if (!isFull && sender.trySend(request, nowUs)) {
            return true;
        }
        // A request without a key that was never sent may go to almost any server, so once one finds none, no further
        // ones are tried in this pass. A non-idempotent one stops only others of its kind, because ejected servers may
        // accept idempotent requests. A request with a key may go to few servers, so these stop the pass only after
        // several have failed.
        if (request.attempts == 0 && (!request.hasKey() || --keyedTriesLeft <= 0)) {
            fullForNonIdempotent = true;
            fullForAll |= !nonIdempotent || request.hasKey();
        }
        return false;
    }
}
