package loadbalancer.admin;

/** How a client's request ended, as the metrics count it. */
public enum RequestOutcome {
    /** A server answered. */
    SERVED("passed"),
    /** The node rejected the request with 503. */
    REJECTED("dropped"),
    /** The request failed, or its answer broke off. */
    FAILED("bad_gateway");

    private final String label;

    RequestOutcome(String label) {
        this.label = label;
    }

    /** The value of the label {@code outcome}. */
    String label() {
        return label;
    }
}
