package loadbalancer.policy;

/**
 * The last outcomes at a server, of all classes or of one, and the state of its ejection. Contains no rules. Outcomes
 * that only indicate load are not recorded.
 */
final class ServerHealth {
    /** Number of last outcomes that decide on an ejection. */
    static final int HISTORY_LENGTH = 16;

    /** One bit per outcome, the newest lowest; 1 is a failure. Holds the last 32. */
    int history;

    boolean ejected;
    /** When the next trial request of an ejected server is due. */
    long trialAtUs;
    /**
     * Mean time until the next trial request of an ejected server; doubles with each recorded failure, up to a maximum.
     */
    long trialIntervalUs;
    /** Successes in a row since the ejection or the last failure; enough of them end the ejection. */
    int trialsSucceeded;

    long lastResponseAtUs;
    long lastSuccessAtUs;

    /** Failures among the last {@link #HISTORY_LENGTH} outcomes. */
    int recentFailures() {
        return Integer.bitCount(history & (1 << HISTORY_LENGTH) - 1);
    }

    /** Failures since the last success, at most 32. */
    int consecutiveFailures() {
        return Integer.numberOfTrailingZeros(~history);
    }
}
