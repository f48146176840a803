package loadbalancer.http;

/** Constant bodies of HTTP messages. */
public final class HttpBodies {
    /** The empty body. */
    public static final byte[] EMPTY = {};

    private HttpBodies() {}
}
