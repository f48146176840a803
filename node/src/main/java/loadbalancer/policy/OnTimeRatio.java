package loadbalancer.policy;

/**
 * The share of recent attempts whose response came within the latency objective, over all classes. Rejected, timed-out
 * and abandoned attempts count as late. Attempts that are no load signal (see {@link LoadSignal#NONE}) do not count.
 */
final class OnTimeRatio {
    /** Weight of a new value: the ratio follows an overload within about eight attempts. */
    private static final double GAIN = 1.0 / 8;
    /**
     * Assumed before the first attempt ends. With it most requests are admitted, and half of the largest burst may be
     * sent ahead of limits.
     */
    private static final double INITIAL = 0.75;

    private double value = INITIAL;

    void record(boolean onTime) {
        value += GAIN * ((onTime ? 1 : 0) - value);
    }

    double value() {
        return value;
    }

    /**
     * Balance of attempts on time against late ones: 1 if all are on time, 0 if half of them are, -1 if all are late.
     */
    double margin() {
        return 2 * value - 1;
    }
}
