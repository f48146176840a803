package loadbalancer.policy;

/** A mean of the values seen so far that turns into an exponentially weighted one as their number grows. */
final class RunningMean {
    /** Weight of a new value once there are many: the mean follows a change within some 32 values. */
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
