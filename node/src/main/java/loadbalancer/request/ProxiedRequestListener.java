package loadbalancer.request;

/** Notified of the state changes of requests. All methods are called on the event loop. */
interface ProxiedRequestListener {
    /** The request has arrived in full, its last byte at this time at the earliest. */
    void onReceived(ProxiedRequest request, long arrivedAtUs);

    /** Returns whether a response may be streamed, so that its end is up to the server and the client. */
    boolean mayStreamResponse(ProxiedRequest request);

    /** The request is about to end, by its final response or because its client has left. Called once. */
    void onEnding(ProxiedRequest request);

    /** The request has ended and has no open attempts left. */
    void onFinished(ProxiedRequest request);
}
