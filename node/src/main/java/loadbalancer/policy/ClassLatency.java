package loadbalancer.policy;

/** Latency of the successful responses to one request class at this node. */
final class ClassLatency {
    /**
     * Growth factor of the least mean per response, so that it follows a lasting change: it doubles in 7,000 responses.
     */
    private static final double LEAST_MEAN_DRIFT = 1.0001;
    /** Share of the window of {@link RunningMean} that must be filled before the mean is considered reliable. */
    private static final double KNOWN_SHARE = 0.5;
    /**
     * Share of the mean above which a response counts as slow. It approximates the median, which is below the mean
     * where a few responses take much longer than most.
     */
    private static final double SLOW_SHARE = 0.8;

    private final RunningMean mean = new RunningMean();
    private double leastMeanUs;

    /** Records the latency of a successful response. */
    void record(long latencyUs) {
        mean.add(latencyUs);
        leastMeanUs = isKnown() ? Math.min(leastMeanUs * LEAST_MEAN_DRIFT, mean.value()) : Double.MAX_VALUE;
    }

    /** Mean latency of recent responses; 0 before the first. */
    double meanUs() {
        return mean.value();
    }

    /**
     * The lowest mean so far, which approximates the latency without load; 0 before the first response, then
     * Double.MAX_VALUE until the mean is reliable.
     */
    double leastMeanUs() {
        return leastMeanUs;
    }

    boolean hasLeastMean() {
        return leastMeanUs < Double.MAX_VALUE;
    }

    boolean hasSamples() {
        return mean.samples() > 0;
    }

    /** Whether there were enough responses for the mean to be reliable. */
    boolean isKnown() {
        return mean.samples() * RunningMean.GAIN >= KNOWN_SHARE;
    }

    /**
     * Whether a response with this latency was slower than about half of its class; true for any latency before the
     * first response.
     */
    boolean isSlow(long latencyUs) {
        return latencyUs > SLOW_SHARE * mean.value();
    }
}
