package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;

/**
 * A request to a server and the receiver of its response.
 *
 * <p>An exchange is held either by the queue for a connection or by the connection that carries it. The holder ends it
 * once, by {@link #onEnded}, unless {@link ServerPool#abort} has removed it. All methods are called on the event loop.
 */
public interface UpstreamExchange {
    /** Returns whether the exchange may still start. Called if it had to wait, when a connection is available. */
    boolean mayStart();

    /**
     * Returns whether the exchange cannot start yet, although a connection is available. It is then no longer held, and
     * starts anew in the pool by itself.
     */
    boolean postponeStart();

    /** Creates the message. Called once, when a connection is available. The caller releases the message. */
    FullHttpRequest createMessage();

    /** Returns the body to stream after the message's head, or null if the message contains its body. */
    RequestBody streamedBody();

    /** The whole request has been written to the socket. */
    void onRequestWritten();

    /** The response carries this load report. Called before the exchange ends; may be repeated with the same report. */
    void onLoadReport(String report);

    /**
     * A streamed response has started: it is too large to be buffered, or its length is unknown and its end has not
     * arrived in time.
     *
     * @param length the announced length in bytes, or -1 if there is none
     * @param source pauses and resumes reading of the response
     */
    void onResponseStarted(long length, FlowControl source);

    /** Receives the next part of a streamed response, and takes ownership of it. */
    void onResponsePart(ByteBuf part);

    /**
     * The head of a response with a body to forward has arrived.
     *
     * @param length the announced length of the body in bytes, or -1 if there is none
     */
    void onResponseHead(long length);

    /**
     * Returns for how long the beginning of a response of unknown length may be buffered from now on, in microseconds;
     * {@link Long#MAX_VALUE} until it is too large for that. Called when a part of the body has arrived.
     */
    long maxBufferingUs();

    /** Bytes of the body have arrived, which are buffered or are passed on next. */
    void onResponseBytes(int bytes);

    /** All parts of a streamed response that have arrived so far have been passed on. */
    void onResponseReadComplete();

    /**
     * The exchange has ended.
     *
     * @param body the body of the response if the result is OK and the response was not streamed, else empty
     */
    void onEnded(AttemptResult result, byte[] body);
}
