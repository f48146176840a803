package loadbalancer.policy;

/** The last answers of a server, of all classes or of one, and whether it is ejected for them. Plain state. */
final class ServerHealth {
    /** Answers that {@link #history} holds. */
    static final int HISTORY_LENGTH = 16;

    /** One bit for each answer, the newest lowest; 1 is a failure. */
    int history;

    boolean ejected;
    /** When an ejected server is due for its next trial request. */
    long trialAtUs;
    /** Mean time until the next trial request of an ejected server; doubles with each that fails. */
    long trialIntervalUs;
    /** Successes since the last failure, of which enough end an ejection. */
    int trialsSucceeded;

    long answeredAtUs;
    long succeededAtUs;

    /** Failures among the last {@link #HISTORY_LENGTH} answers. */
    int recentFailures() {
        return Integer.bitCount(history & (1 << HISTORY_LENGTH) - 1);
    }

    /** Failures since the last success. */
    int consecutiveFailures() {
        return Integer.numberOfTrailingZeros(~history);
    }
}
