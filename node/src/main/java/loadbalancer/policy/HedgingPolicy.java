package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.List;

/**
 * Finds attempts that have had no answer for {@link #LATENCY_FACTOR} times their class's mean latency, and says
 * whether a second attempt may be made beside such a one (a hedged request, within a retry budget). Guards against a
 * server, or a path to it, that swallows requests or answers while clients leave before any time-out shows it.
 *
 * <p>Not asked after a pause of the node itself, when answers are still to be read. Harm: rare heavy requests run
 * twice. Single-threaded; no I/O.
 */
final class HedgingPolicy {
    /** Times the mean latency of its class after which an attempt counts as unresponsive: one in fifty takes longer. */
    private static final double LATENCY_FACTOR = 4;
    /** Ticks of the node added to that: an answer is seen only at the next one. */
    private static final int EXTRA_TICKS = 2;
    /** Until the mean latency is known, far in the future; small enough for a time to be added. */
    private static final long UNKNOWN_LATENCY_US = Long.MAX_VALUE / 4;
    /** Retry budget: hedged requests that each first attempt pays for, and the most that are saved up. */
    private static final double BUDGET_PER_REQUEST = 0.2;

    private static final double MAX_BUDGET = 20;

    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;
    /** The attempts of each class, in the order sent, until they are known or found unresponsive. */
    private final PerClass<ArrayDeque<AttemptId>> watched = new PerClass<>(ArrayDeque::new);

    private double budget = MAX_BUDGET;

    HedgingPolicy(BalancerState state, PerClass<ClassLatency> latencies) {
        this.state = state;
        this.latencies = latencies;
    }

    void addClasses(List<RequestClass> classes) {
        watched.extendTo(classes);
    }

    /** Watches an attempt that is sent now. */
    void onSent(PendingRequest request, int attempt) {
        if (attempt == 0) {
            budget = Math.min(MAX_BUDGET, budget + BUDGET_PER_REQUEST);
        }
        watched.get(request.classIndex).add(new AttemptId(request, attempt));
    }

    /** The next attempt that is found unresponsive by now, each once; null if there is none. */
    AttemptId pollUnresponsive(long nowUs) {
        for (int classIndex = 0; classIndex < watched.size(); classIndex++) {
            ArrayDeque<AttemptId> attempts = watched.get(classIndex);
            long limitUs = unresponsiveAfterUs(classIndex);
            for (AttemptId first = attempts.peek(); first != null; first = attempts.peek()) {
                boolean known = isKnown(first);
                if (!known && nowUs < sentAtUs(first) + limitUs) {
                    break;
                }
                attempts.poll();
                if (!known) {
                    return first;
                }
            }
        }
        return null;
    }

    private static boolean isKnown(AttemptId id) {
        PendingRequest request = id.request();
        return request.isEnded() || request.isBound() || request.results[id.attempt()] != null;
    }

    private static long sentAtUs(AttemptId id) {
        return id.request().sentAtUs[id.attempt()];
    }

    /** When the first attempt could be found unresponsive, at {@code earliestUs} or later; or Long.MAX_VALUE. */
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

    /** Whether a second attempt may be made beside the one that is in flight. */
    boolean mayHedge(PendingRequest request, long nowUs) {
        return state.settings.hedging
                && !request.isQueued()
                && budget >= 1
                && request.outstanding == 1
                && RetryPolicy.mayRetry(request, nowUs);
    }

    /** A hedged attempt is made. */
    void onHedged() {
        budget--;
    }
}
