package loadbalancer.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.client.ClientRequest;
import loadbalancer.http.ProtocolHeaders;
import loadbalancer.transfer.RequestBody;

/** Creates the messages that a node sends to servers. The caller releases each message. */
final class UpstreamMessageFactory {
    private static final String HOST = "backend.local";
    private static final String HEALTH_CHECK_PATH = "/alive";
    private static final String MICROS_SUFFIX = "u";

    private UpstreamMessageFactory() {}

    /**
     * Creates the message of an attempt. If the body is streamed, the message consists of the head only.
     *
     * @param remainingUs how long the node waits for the response; at least 1 is sent
     */
    static FullHttpRequest attempt(ClientRequest request, String className, long remainingUs) {
        ClientRequest.Head head = request.head();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, head.method(), head.uri(), Unpooled.wrappedBuffer(request.body()));
        HttpHeaders headers = message.headers();
        headers.set(HttpHeaderNames.HOST, HOST)
                .set(ProtocolHeaders.REQUEST_ID, head.requestId())
                .set(ProtocolHeaders.REQUEST_CLASS, className)
                .set(ProtocolHeaders.REMAINING_TIME, Math.max(1, remainingUs) + MICROS_SUFFIX);
        if (head.idempotencyKey() != null) {
            headers.set(ProtocolHeaders.IDEMPOTENCY_KEY, head.idempotencyKey());
        }
        setFraming(message, request);
        return message;
    }

    private static void setFraming(FullHttpRequest message, ClientRequest request) {
        RequestBody streamedBody = request.streamedBody();
        int bodyLength = request.body().length;
        if (streamedBody != null && streamedBody.length() < 0) {
            HttpUtil.setTransferEncodingChunked(message, true);
        } else if (streamedBody != null) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, streamedBody.length());
        } else if (bodyLength > 0 || !message.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyLength);
        }
    }

    /** Creates the message of a health check. */
    static FullHttpRequest healthCheck() {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, HEALTH_CHECK_PATH, Unpooled.EMPTY_BUFFER);
        message.headers().set(HttpHeaderNames.HOST, HOST);
        return message;
    }
}
