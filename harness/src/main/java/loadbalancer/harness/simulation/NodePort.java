package loadbalancer.harness.simulation;

/** The interface of clients, the front and faults to one node, which is simulated or a process. */
public interface NodePort {
    /** Time after SIGTERM during which the front still sends new requests, until it notices. */
    long REQUESTS_AFTER_SIGTERM_US = 300_000;
    /** Time after SIGTERM at which the node is killed if it has not ended by then. */
    long MAX_SHUTDOWN_US = 3_700_000;

    /** The result of one attempt of a client. Stored histories contain these names. */
    enum RequestResult {
        OK,
        /** The node rejected the request; a retry is safe. */
        REFUSED,
        FAILED,
        /** The connection broke after the node had received the request. */
        BROKEN,
        /** The node did not receive the request. */
        UNREACHABLE
    }

    /**
     * One attempt of a client.
     *
     * @param key the key that app servers cache, or null
     * @param workUs the work that it takes on a standard core; not visible to nodes
     * @param remainingUs time that the client will wait
     * @param repeat whether the client has sent the same request before
     */
    record ClientRequest(long id, int classIndex, String key, double workUs, long remainingUs, boolean repeat) {}

    /** Receives the result, exactly once. */
    interface ResponseListener {
        void onResult(RequestResult result);
    }

    String name();

    int zone();

    /** Starts its process, which accepts requests once it is ready. */
    void start();

    /** Ends it at once; its open requests are lost. */
    void kill();

    /** Sends it SIGTERM: it stops accepting requests after a while, completes its open requests, and ends. */
    void terminate();

    /** Whether it accepts requests. */
    boolean isReady();

    /** Returns the time of its last change to or from ready, or 0 if it never changed. */
    long stateChangedAtUs();

    /** Sends it a request of a client. The listener is never called from within this call. */
    void send(ClientRequest request, ResponseListener listener);

    /** The client of this request has disconnected. */
    void clientGone(long requestId);

    /** Cordons an app server at this node, as an operator does, or ends the cordon. */
    void setCordoned(String serverId, boolean cordoned);
}
