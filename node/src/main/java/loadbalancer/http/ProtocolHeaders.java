package loadbalancer.http;

/** Header fields of the protocol beside those of HTTP itself. Each value is the name on the wire. */
public final class ProtocolHeaders {
    /** The client's id of a request, a new one for every request. */
    public static final String REQUEST_ID = "X-Txn";
    /** The name of the request's class. */
    public static final String REQUEST_CLASS = "X-Lane";
    /** The tenant on whose behalf the client asks. */
    public static final String TENANT = "X-Org";
    /**
     * How long the sender still waits: a number and a unit, {@code m} for milliseconds or {@code u} for microseconds.
     */
    public static final String REMAINING_TIME = "X-Remaining";
    /** The client's estimate of the work that the request takes, in microseconds. */
    public static final String ESTIMATED_WORK = "X-Estimate";
    /** Set to {@link #TRUE} by a client that sends a request again. */
    public static final String CLIENT_RETRY = "X-Resent";
    /** Requests with the same key may run once only, where the class says so. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** The load report of a server. */
    public static final String LOAD_REPORT = "X-Pressure";
    /** Set to {@link #TRUE} by a server that has rejected a request unread. */
    public static final String LOAD_SHED = "X-Turned-Away";

    /** The value of a field that is a mark. */
    public static final String TRUE = "1";

    private ProtocolHeaders() {}
}
