package loadbalancer.admin;

/** The outcome of a client's request, as counted in the metrics. */
public enum RequestOutcome {
    /** A successful response of a server was forwarded. */
    SERVED("passed"),
    /** The node rejected the request with status 503. */
    REJECTED("dropped"),
    /** The node failed the request with another status, or its streamed response was aborted. */
    FAILED("bad_gateway");

    private final String label;

    RequestOutcome(String label) {
        this.label = label;
    }

    /** Returns the value of the label {@code outcome}. */
    String label() {
        return label;
    }

    /** Returns the outcome of a request whose final response has this status. */
    public static RequestOutcome ofStatus(int status) {
        return switch (status) {
            case 200 -> SERVED;
            case 503 -> REJECTED;
            default -> FAILED;
        };
    }
}
