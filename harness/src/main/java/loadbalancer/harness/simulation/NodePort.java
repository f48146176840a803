package loadbalancer.harness.simulation;

/** One node as clients, the front and faults reach it: a simulated one or a process. */
public interface NodePort {
    /** How long after SIGTERM the front still sends it new requests, as it has yet to notice. */
    long REQUESTS_AFTER_SIGTERM_US = 300_000;
    /** How long after SIGTERM it is killed at the latest. */
    long MAX_SHUTDOWN_US = 3_700_000;

    /** How a request came back to its client; stored histories hold these names. */
    enum Answer {
        OK,
        /** Rejected: a retry is harmless. */
        REFUSED,
        FAILED,
        /** The node had taken it, and the connection broke. */
        BROKEN,
        /** The node never had it. */
        UNREACHABLE
    }

    /**
     * One attempt of a client.
     *
     * @param workUs the work that it takes on a standard core; nodes are not given this
     * @param remainingUs how long the client will wait
     * @param repeat whether the client has sent the same request before
     */
    record ClientRequest(long id, int classIndex, String key, double workUs, long remainingUs, boolean repeat) {}

    /** Gets the answer, once. */
    interface ResponseListener {
        void onAnswer(Answer answer);
    }

    String name();

    int zone();

    /** Starts its process; it takes requests once it is ready. */
    void start();

    /** Ends it at once; what it holds is lost. */
    void kill();

    /** Sends it SIGTERM: it takes nothing new after a while, serves its open requests, and ends. */
    void terminate();

    /** Whether it takes requests. */
    boolean isReady();

    /** When it last became ready, or ceased to be; 0 if it never was. */
    long stateChangedAtUs();

    /** Sends it a client's request; the listener is never called from inside this call. */
    void send(ClientRequest request, ResponseListener listener);

    /** The client of this request has disconnected. */
    void clientGone(long requestId);

    /** Lets operators cordon an app server at it, or end the cordon. */
    void setCordoned(String serverId, boolean cordoned);
}
