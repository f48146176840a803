package loadbalancer.common;

/** What the node did by itself with a response that was arriving, or with a request body that was being sent. */
public enum TransferEvent {
    /** The node stopped to wait for the rest of a response of which nothing had been passed on. */
    RESPONSE_ABANDONED("response_abandoned"),
    /** The node broke off a response that it was passing on. */
    RESPONSE_CUT("response_cut"),
    /** A response that may be large went on although the time of its client was over. */
    RESPONSE_EXTENDED("response_extended"),
    /** The time of a client was over before its body, the rest of which was unread, had reached a server. */
    UPLOAD_EXPIRED("upload_expired");

    private final String label;

    TransferEvent(String label) {
        this.label = label;
    }

    /** Returns the name of the event in metrics and in the log. */
    public String label() {
        return label;
    }
}
