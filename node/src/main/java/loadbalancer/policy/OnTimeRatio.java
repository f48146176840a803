package loadbalancer.policy;

/** The share of recent answers that came within their latency objective, over all classes. Single-threaded. */
final class OnTimeRatio {
    /** Weight of a new answer: the ratio follows an overload within some eight answers. */
    private static final double GAIN = 1.0 / 8;
    /** Assumed before the first answer: enough to send, not enough to send ahead of limits. */
    private static final double INITIAL = 0.75;

    private double value = INITIAL;

    void record(boolean onTime) {
        value += GAIN * ((onTime ? 1 : 0) - value);
    }

    double value() {
        return value;
    }

    /** How far answers on time outnumber the others: from -1, all late, to 1, none. */
    double margin() {
        return 2 * value - 1;
    }
}
