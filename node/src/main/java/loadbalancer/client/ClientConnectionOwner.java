package loadbalancer.client;

import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.eventloop.LoopLagMeter;

/** The server that accepted a client's connection. All methods are called on the event loop. */
interface ClientConnectionOwner {
    /** Measures how long received bytes may have waited in the sockets before they were read. */
    LoopLagMeter lagMeter();

    /** Returns the memory for input that is read ahead. */
    ReadAheadBudget readAheadBudget();

    /** Returns the number of requests that all connections together may drop in a turn of the event loop. */
    TurnQuota rejectionQuota();

    /** Returns the reader for the heads of new requests. */
    RequestReader reader();

    /** Returns whether the server drains: responses close their connections unless requests are pipelined. */
    boolean isDraining();

    /** Returns the status of the response to a readiness check. */
    HttpResponseStatus readiness();

    /** The client has started a request, which makes its connection the most recently used one. */
    void onRequestStarted(ClientConnection client);

    /** A request is ready to be served. The owner is responsible for exactly one response to it. */
    void onRequest(ClientConnection client, ClientRequest request);

    /**
     * More input of a connection has to be read than may be held, so that it is dropped and its requests are rejected.
     *
     * @param heldBytes the bytes that the connection holds
     */
    void onInputOverflow(long heldBytes);

    /** A pipelined request that was dropped is rejected; its class is {@link RejectedRequests#NO_CLASS} if invalid. */
    void onRequestRejected(int classIndex);

    /** The connection stays open, and no part of another request has been read from it. */
    void onQuiescent(ClientConnection client);

    /** Called when the connection has closed. */
    void onClosed(ClientConnection client);
}
