package loadbalancer.request;

/** How far a {@link ProxiedRequest} is. All transitions stand here. */
enum RequestState {
    /** Its body is still arriving. */
    RECEIVING,
    /** It has arrived in full, and its time runs. */
    RECEIVED,
    /** It has ended before it had arrived in full. */
    ENDED_AMID_BODY,
    /** It has arrived in full and has ended. */
    ENDED;

    /** The state once all of the request has arrived. */
    RequestState received() {
        return isEnded() ? ENDED : RECEIVED;
    }

    /** The state once the request has its final response, or needs none any more. */
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
