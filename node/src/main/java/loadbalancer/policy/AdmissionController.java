package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Sheds load on arrival, where many nodes share each server. As the on-time ratio falls, a node admits fewer requests,
 * those of low value with the lowest probability. Overloaded servers then get the pauses that they need to recover. A
 * minimum share is admitted on average, because without responses a node would not detect that the servers have
 * recovered.
 *
 * <p>Trade-off: while the on-time ratio lags behind a recovery, requests are rejected that could have been served.
 */
final class AdmissionController {
    /**
     * On-time ratio below which requests of half the highest value may be shed. The limit is about 0.81 for requests of
     * value 0, and about 0.63 for those of the highest value.
     */
    private static final double SHEDDING_THRESHOLD = 0.7;
    /** Lowest probability with which a request is admitted. */
    private static final double MIN_ADMITTED_SHARE = 0.05;
    /** Factor of the admitted share for a request of value 0. */
    private static final double ZERO_VALUE_FACTOR = 0.75;

    /** Added to that factor for a request of the highest value. */
    private static final double HIGHEST_VALUE_BONUS = 0.5;

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

    /** Whether to reject a request on arrival. Draws a random number only where many nodes share each server. */
    boolean shouldShed(PendingRequest request) {
        return state.manyNodesPerServer && random.nextDouble() >= admissionProbability(request);
    }

    private double admissionProbability(PendingRequest request) {
        double onTime = onTimeRatio.value() / SHEDDING_THRESHOLD;
        double valueFactor = ZERO_VALUE_FACTOR + priority.relativeValue(request) * HIGHEST_VALUE_BONUS;
        return Math.max(MIN_ADMITTED_SHARE, onTime * onTime * valueFactor);
    }
}
