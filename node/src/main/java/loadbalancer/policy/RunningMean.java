package loadbalancer.policy;

/** The mean of all values at first, which turns into an exponentially weighted one as their number grows. */
final class RunningMean {
    /** Smallest weight of a new value: the mean follows a change within about 32 values. */
    static final double GAIN = 1.0 / 32;

    private double value;
    private int samples;

    void add(double sample) {
        value += Math.max(GAIN, 1.0 / ++samples) * (sample - value);
    }

    /** The mean; 0 before the first value. */
    double value() {
        return value;
    }

    int samples() {
        return samples;
    }
}
