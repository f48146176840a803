package loadbalancer.admin;

/**
 * The answer to an operator's call.
 *
 * @param text what is written, without the end of its last line
 * @param delayMillis after how long it is written; 0 for at once
 */
record ControlAnswer(String text, long delayMillis) {
    private static final String ACCEPTED = "YES";
    private static final String REJECTED = "NO ";
    private static final String END_OF_METRICS = "END";

    static ControlAnswer accepted() {
        return acceptedAfter(0);
    }

    static ControlAnswer acceptedAfter(long delayMillis) {
        return new ControlAnswer(ACCEPTED, delayMillis);
    }

    static ControlAnswer rejected(String reason) {
        return new ControlAnswer(REJECTED + reason, 0);
    }

    /** @param lines all metrics, each with the end of its line */
    static ControlAnswer metrics(String lines) {
        return new ControlAnswer(lines + END_OF_METRICS, 0);
    }
}
