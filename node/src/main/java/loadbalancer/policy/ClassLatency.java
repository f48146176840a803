package loadbalancer.policy;

/** The latency of the answers of one request class at this node. */
final class ClassLatency {
    /** Growth of the least mean with each answer, so that it follows a lasting change: it doubles in 7,000 answers. */
    private static final double LEAST_MEAN_DRIFT = 1.0001;
    /** Share of the window of {@link RunningMean} from which on the mean is more than chance. */
    private static final double KNOWN_SHARE = 0.5;
    /** An answer of this share of the mean is slower than half of all, as the median lies below the mean. */
    private static final double SLOW_SHARE = 0.8;

    private final RunningMean mean = new RunningMean();
    private double leastMeanUs;

    /** Takes in the latency of a successful answer. */
    void record(long latencyUs) {
        mean.add(latencyUs);
        leastMeanUs = isKnown() ? Math.min(leastMeanUs * LEAST_MEAN_DRIFT, mean.value()) : Double.MAX_VALUE;
    }

    /** The mean latency of recent answers; 0 before the first. */
    double meanUs() {
        return mean.value();
    }

    /** The least mean so far: about the latency without load. Only meaningful once {@link #hasLeastMean}. */
    double leastMeanUs() {
        return leastMeanUs;
    }

    boolean hasLeastMean() {
        return leastMeanUs < Double.MAX_VALUE;
    }

    boolean hasAnswers() {
        return mean.samples() > 0;
    }

    /** Whether there were enough answers for the mean to be more than chance. */
    boolean isKnown() {
        return mean.samples() * RunningMean.GAIN >= KNOWN_SHARE;
    }

    /** Whether an answer with this latency was slower than most of its class. */
    boolean isSlow(long latencyUs) {
        return latencyUs > SLOW_SHARE * mean.value();
    }
}
