package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;

/**
 * A message to a server that waits for its response.
 *
 * <p>It is pending in one place at a time: in the queue for a connection, or on the connection that carries it. Whoever
 * has it ends it once, by {@link #onEnded}, unless {@link ServerPool#abort} has taken it back before. All calls are
 * made on the event loop.
 */
public interface UpstreamExchange {
    /** Whether it may still start; called when it has waited for the connection that is to carry it. */
    boolean mayStart();

    /** Makes the message; called once, when a connection is there to carry it. The caller releases it. */
    FullHttpRequest createMessage();

    /** The body that is streamed behind the message's head, or null where the message has its body. */
    RequestBody streamedBody();

    /** The message has been written in full. */
    void onRequestWritten();

    /** The server has sent this load report; called ahead of the end of the response that it came with. */
    void onLoadReport(String report);

    /**
     * A response has started that is too large to be buffered, or whose length and end are not known in time.
     *
     * @param length its announced length, or -1 where there is none
     * @param source pauses and resumes it
     */
    void onResponseStarted(long length, FlowControl source);

    /** The next part of such a response, which is taken over. */
    void onResponsePart(ByteBuf part);

    /** All parts that were there to be read have been passed on. */
    void onResponseReadComplete();

    /** Its one end. The body is the server's where the result is OK and nothing was streamed, else empty. */
    void onEnded(AttemptResult result, byte[] body);
}
