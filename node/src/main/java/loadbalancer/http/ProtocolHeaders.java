package loadbalancer.http;

import java.util.Set;

/** Names of the header fields that the protocol adds to those of HTTP. Each value is the name on the wire. */
public final class ProtocolHeaders {
    /** The id that the client gives to a request, unique for each request. */
    public static final String REQUEST_ID = "X-Txn";
    /** The name of the request's class. */
    public static final String REQUEST_CLASS = "X-Lane";
    /** The name of the tenant on whose behalf the client sends the request. */
    public static final String TENANT = "X-Org";
    /**
     * How long the sender waits for the response: a number and a unit, {@code m} for milliseconds or {@code u} for
     * microseconds.
     */
    public static final String REMAINING_TIME = "X-Remaining";
    /** The client's estimate of the work for the request, in microseconds. */
    public static final String ESTIMATED_WORK = "X-Estimate";
    /** Set to {@link #TRUE} by a client that retries a request. */
    public static final String CLIENT_RETRY = "X-Resent";
    /** Requests with the same key must run only once, if their class uses idempotency keys. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    /** The load report of a server. */
    public static final String LOAD_REPORT = "X-Pressure";
    /** Set to {@link #TRUE} by a server that has rejected a request without running it. */
    public static final String LOAD_SHED = "X-Turned-Away";

    /** The value of a boolean header field that is set. */
    public static final String TRUE = "1";

    /** The header fields of requests. */
    public static final Set<String> OF_REQUESTS =
            Set.of(REQUEST_ID, REQUEST_CLASS, TENANT, REMAINING_TIME, ESTIMATED_WORK, CLIENT_RETRY, IDEMPOTENCY_KEY);

    private ProtocolHeaders() {}
}
