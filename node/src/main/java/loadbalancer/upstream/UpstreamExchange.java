package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;

/** What is sent to a server and waits for its answer. */
public interface UpstreamExchange {
    /** Whether it may still begin; asked when it has waited for the connection that is to carry it. */
    boolean mayBegin();

    /** The message; asked for once, when a connection is there to carry it. */
    FullHttpRequest message();

    /** What flows behind the message's head in place of a body, or null. */
    RequestBody upload();

    /** The message has been written whole. */
    void written();

    /** What the server says of its load, as it is written; told ahead of the end it came with. */
    void reported(String load);

    /** An answer has begun that is too large to be gathered, of this length or of -1 if none is told. */
    void begun(long length, FlowControl from);

    /** The next part of such an answer, which is taken over. */
    void part(ByteBuf part);

    /** No more of it is there for now. */
    void partsRead();

    /** Its one end. The body is the server's where the result is OK and nothing flowed, else empty. */
    void ended(AttemptResult result, byte[] body);
}
