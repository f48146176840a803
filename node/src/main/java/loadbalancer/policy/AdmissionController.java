package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Load shedding on arrival. Acts where many nodes share each server: as answers come late, a node takes up fewer
 * requests, those of low value first, so that overloaded servers come to the pauses that they need to recover. Some
 * are always taken up, else a node would not learn that the servers have recovered.
 *
 * <p>Harm: requests are rejected that could have been served, while the on-time ratio follows a recovery.
 * Single-threaded; no I/O.
 */
final class AdmissionController {
    /** On-time ratio under which requests of middling value are shed. */
    private static final double SHEDDING_THRESHOLD = 0.7;
    /** Least share of requests that are taken up. */
    private static final double MIN_ADMITTED_SHARE = 0.05;
    /** Factor of the admitted share for a request of no value, and what the highest value adds to it. */
    private static final double LOWEST_RANK_FACTOR = 0.75;

    private static final double RANK_BONUS = 0.5;

    private final BalancerState state;
    private final OnTimeRatio onTimeRatio;
    private final RequestPriority priority;
    private final SplittableRandom random;

    AdmissionController(
            BalancerState state, OnTimeRatio onTimeRatio, RequestPriority priority, SplittableRandom random) {
        this.state = state;
        this.onTimeRatio = onTimeRatio;
        this.priority = priority;
        this.random = random;
    }

    /** Whether a request that has arrived is to be rejected. Draws a random number only where many nodes share. */
    boolean sheds(PendingRequest request) {
        return state.manyNodesPerServer && random.nextDouble() >= admissionProbability(request);
    }

    private double admissionProbability(PendingRequest request) {
        double onTime = onTimeRatio.value() / SHEDDING_THRESHOLD;
        double rankFactor = LOWEST_RANK_FACTOR + priority.rank(request) * RANK_BONUS;
        return Math.max(MIN_ADMITTED_SHARE, onTime * onTime * rankFactor);
    }
}
