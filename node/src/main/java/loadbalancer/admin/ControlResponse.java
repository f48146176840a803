package loadbalancer.admin;

/**
 * The response to an operator's call.
 *
 * @param text the text to write, without the line break at its end
 * @param delayMillis the delay before it is written; 0 for none
 */
record ControlResponse(String text, long delayMillis) {
    private static final String ACCEPTED = "YES";
    private static final String REJECTED = "NO ";
    private static final String END_OF_METRICS = "END";

    static ControlResponse accepted() {
        return acceptedAfter(0);
    }

    static ControlResponse acceptedAfter(long delayMillis) {
        return new ControlResponse(ACCEPTED, delayMillis);
    }

    static ControlResponse rejected(String reason) {
        return new ControlResponse(REJECTED + reason, 0);
    }

    /** @param lines all metrics, one per line, each line with its line break */
    static ControlResponse metrics(String lines) {
        return new ControlResponse(lines + END_OF_METRICS, 0);
    }
}
