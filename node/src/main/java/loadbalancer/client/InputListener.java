package loadbalancer.client;

/** Directs how a {@link ReadAheadHandler} reads the input of a connection, and takes what it cannot hold. */
interface InputListener {
    /** Returns whether input may be read ahead now: not if the client is to be slowed down to a server's pace. */
    boolean isReadAheadUseful();

    /** Returns whether the input that is paused is the body of the request in service, whose end has not been read. */
    boolean isBodyWaiting();

    /**
     * More has to be read than may be held, and it is not the body of the request in service. The listener resumes the
     * input, and takes it without keeping it until {@link #onInputCaughtUp}.
     */
    void onInputOverflow();

    /** All input that has arrived has been passed on. */
    void onInputCaughtUp();
}
