package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Finds attempts that have had no response for {@link #LATENCY_FACTOR} times the mean latency of their class, and
 * decides whether to make a second attempt in parallel (a hedged request, within a hedging budget). Guards against a
 * server, or a network path, that drops requests or responses while clients leave before a timeout reveals it.
 *
 * <p>Not used after a pause of the node itself, when responses that have arrived are still unread.
 *
 * <p>Trade-off: rare heavy requests run twice.
 */
final class HedgingPolicy {
    /**
     * Multiple of its class's mean latency after which an attempt counts as unresponsive: one in fifty takes longer.
     */
    private static final double LATENCY_FACTOR = 4;
    /** Ticks of the node added to that time, because a response is processed only at the next tick. */
    private static final int EXTRA_TICKS = 2;
    /** Used until the mean latency is known. Far in the future, but small enough to be added to a time. */
    private static final long UNKNOWN_LATENCY_US = Long.MAX_VALUE / 4;
    /** Hedged requests that each first attempt adds to the hedging budget. */
    private static final double BUDGET_PER_REQUEST = 0.2;

    /** Most hedged requests that the budget saves up. */
    private static final double MAX_BUDGET = 20;

    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;
    /** The attempts of each class in the order sent, until they are settled, respond, or are found unresponsive. */
    private final PerClass<ArrayDeque<AttemptId>> watched = new PerClass<>(ArrayDeque::new);

    private double budget = MAX_BUDGET;

    HedgingPolicy(BalancerState state, PerClass<ClassLatency> latencies) {
        this.state = state;
        this.latencies = latencies;
    }

    void addClasses(List<RequestClass> classes) {
        watched.extendTo(classes);
    }

    /** Starts to watch an attempt that is sent now. */
    void onSent(PendingRequest request, int attempt) {
        if (attempt == 0) {
            budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
        }
        watched.get(request.classIndex).add(new AttemptId(request, attempt));
    }

    /**
     * Returns the next attempt that has become unresponsive, or null if there is none. Each attempt is returned once.
     */
    AttemptId pollUnresponsive(long nowUs) {
        for (int classIndex = 0; classIndex < watched.size(); classIndex++) {
            ArrayDeque<AttemptId> attempts = watched.get(classIndex);
            long limitUs = unresponsiveAfterUs(classIndex);
            for (AttemptId first = attempts.peek(); first != null; first = attempts.peek()) {
                boolean settled = isSettled(first);
                if (!settled && nowUs < sentAtUs(first) + limitUs) {
                    break;
                }
                attempts.poll();
                if (!settled) {
                    return first;
                }
            }
        }
        return null;
    }

    private static boolean isSettled(AttemptId id) {
        PendingRequest request = id.request();
        return request.isEnded()
                || request.isBound()
                || request.responding[id.attempt()]
                || request.results[id.attempt()] != null;
    }

    private static long sentAtUs(AttemptId id) {
        return id.request().sentAtUs[id.attempt()];
    }

    /**
     * When an attempt may next be found unresponsive, not before {@code earliestUs}; Long.MAX_VALUE if none is watched.
     */
    long nextCheckAtUs(long earliestUs) {
        long nextUs = Long.MAX_VALUE;
        for (int classIndex = 0; classIndex < watched.size(); classIndex++) {
            AttemptId first = watched.get(classIndex).peek();
            if (first != null) {
                long checkAtUs = Math.max(earliestUs, sentAtUs(first) + unresponsiveAfterUs(classIndex));
                nextUs = Math.min(nextUs, checkAtUs);
            }
        }
        return nextUs;
    }

    private long unresponsiveAfterUs(int classIndex) {
        ClassLatency latency = latencies.get(classIndex);
        return latency.isKnown()
                ? (long) (LATENCY_FACTOR * latency.meanUs()) + EXTRA_TICKS * state.settings.tickUs
                : UNKNOWN_LATENCY_US;
    }

    /** Whether a second attempt may be made in parallel with the one in flight. */
    boolean mayHedge(PendingRequest request, long nowUs) {
        return state.settings.hedging
                && !request.isQueued()
                && budget >= 1
                && request.outstanding == 1
                && RetryPolicy.mayRetry(request, nowUs);
    }

    /** Charges a hedged attempt to the budget. */
    void onHedged() {
        budget--;
    }
}
