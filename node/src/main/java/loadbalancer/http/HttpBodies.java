package loadbalancer.http;

/** Bodies that need no buffer. */
public final class HttpBodies {
    /** The body of a message that has none. */
    public static final byte[] EMPTY = {};

    private HttpBodies() {}
}
