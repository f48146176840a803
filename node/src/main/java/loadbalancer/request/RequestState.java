package loadbalancer.request;

/** The state of a {@link ProxiedRequest} and its transitions. */
enum RequestState {
    /** The request body is still arriving. */
    RECEIVING,
    /** The request has arrived in full, and its deadline is set. */
    RECEIVED,
    /** The request ended before it had arrived in full. */
    ENDED_AMID_BODY,
    /** The request arrived in full and has ended. */
    ENDED;

    /** Returns the state after the request has arrived in full. */
    RequestState received() {
        return isEnded() ? ENDED : RECEIVED;
    }

    /** Returns the state after the final response, or after the client has left. */
    RequestState ended() {
        return isReceived() ? ENDED : ENDED_AMID_BODY;
    }

    boolean isReceived() {
        return this == RECEIVED || this == ENDED;
    }

    boolean isEnded() {
        return this == ENDED || this == ENDED_AMID_BODY;
    }
}
