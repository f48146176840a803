package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import loadbalancer.http.HttpBodies;
import loadbalancer.http.TransferCodings;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.transfer.TransferLimits;

/**
 * Assembles a client's request from its parts: it checks the head, buffers a small body and streams a large one.
 *
 * <p>It owns the buffered body until the request is handed to the listener, the body turns into a stream, or
 * {@link #discardBuffered} is called. It borrows the parts that it is given. Runs on the event loop.
 */
final class RequestAssembler implements FlowControl {
    /** What becomes of the parts. */
    interface Listener {
        /** The head of a request is about to be read. */
        void onRequestStarted();

        /** A request can be served: it has arrived in full, or its body is streamed. */
        void onRequest(ClientRequest request);

        /** A request has arrived in full that the node answers itself, by this response. */
        void onLocalResponse(HttpResponseStatus status, byte[] body);

        /** This is no request that can be read on: where the next one would begin is not known. */
        void onUnreadable(HttpResponseStatus status);

        /** The rest of a request has arrived whose response has been started. */
        void onRestDiscarded();
    }

    /** The response to a request that the node answers itself, once the request has arrived in full. */
    private record LocalResponse(HttpResponseStatus status, byte[] body) {}

    private static final String READINESS_PATH = "/up";
    private static final long UNKNOWN_LENGTH = -1;

    private final SocketChannel channel;
    private final ConnectionState state;
    private final PipelinedMessages pipelined;
    private final ClientConnection.Owner owner;
    private final Listener listener;

    /** The request that is being read; null where the node answers it itself, and between requests. */
    private ClientRequest.Head head;

    private LocalResponse localResponse;
    private long contentLength;
    private long receivedBytes;
    private ByteBuf buffered;
    private RequestBody streamedBody;
    private boolean readingPaused;

    /** When, at the earliest, the part arrived that is read now. */
    private long partArrivedAtNanos;

    RequestAssembler(
            SocketChannel channel,
            ConnectionState state,
            PipelinedMessages pipelined,
            ClientConnection.Owner owner,
            Listener listener) {
        this.channel = channel;
        this.state = state;
        this.pipelined = pipelined;
        this.owner = owner;
        this.listener = listener;
    }

    // ---------------------------------------------------------------- parts

    /** Reads the next part of a request; the caller releases it. */
    void read(HttpObject part, long arrivedAtNanos) {
        partArrivedAtNanos = arrivedAtNanos;
        if (state.isClientProven() || head != null) {
            state.touch();
        }
        if (part.decoderResult().isFailure()) {
            listener.onUnreadable(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (part instanceof HttpRequest request) {
            readHead(request);
        }
        if (part instanceof HttpContent content && state.isReceiving()) {
            if (state.isResponseStarted()) {
                discard(content);
            } else {
                readContent(content);
            }
        }
    }

    /** The rest of a request that has its response: read to its end, as the client may read only then. */
    private void discard(HttpContent content) {
        receivedBytes += content.content().readableBytes();
        if (receivedBytes > TransferLimits.MAX_BODY_BYTES) {
            channel.close();
        } else if (content instanceof LastHttpContent) {
            state.requestReceived();
            listener.onRestDiscarded();
        }
    }

    private void readHead(HttpRequest request) {
        state.requestStarted(HttpUtil.isKeepAlive(request));
        listener.onRequestStarted();
        receivedBytes = 0;
        contentLength = HttpUtil.getContentLength(request, UNKNOWN_LENGTH);
        try {
            request.setUri(RequestReader.target(request.uri()));
            route(request);
        } catch (BadRequestException e) {
            localResponse = new LocalResponse(HttpResponseStatus.BAD_REQUEST, rejectionBody(request, e));
        }
        if (!TransferCodings.hasNoCodingButChunked(request)) {
            listener.onUnreadable(HttpResponseStatus.BAD_REQUEST);
        } else if (contentLength > maxBodyBytes()) {
            listener.onUnreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            answerExpectation(request);
        }
    }

    /** Finds out who answers the request: a server, or the node itself. */
    private void route(HttpRequest request) throws BadRequestException {
        String path = RequestReader.path(request.uri());
        if (path.equals(READINESS_PATH)) {
            localResponse = new LocalResponse(owner.readiness(), HttpBodies.EMPTY);
        } else if (RequestReader.isRequestPath(path)) {
            head = owner.reader().read(request);
        } else {
            localResponse = new LocalResponse(HttpResponseStatus.NOT_FOUND, HttpBodies.EMPTY);
        }
    }

    private static byte[] rejectionBody(HttpRequest request, BadRequestException rejection) {
        return request.method().equals(HttpMethod.HEAD)
                ? HttpBodies.EMPTY
                : (rejection.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private long maxBodyBytes() {
        return head == null ? TransferLimits.MAX_BUFFERED_BYTES : TransferLimits.MAX_BODY_BYTES;
    }

    private void answerExpectation(HttpRequest request) {
        if (!HttpUtil.is100ContinueExpected(request)) {
            listener.onUnreadable(HttpResponseStatus.EXPECTATION_FAILED);
        } else if (head != null) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        receivedBytes += content.content().readableBytes();
        if (receivedBytes > maxBodyBytes()) {
            listener.onUnreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (streamedBody != null) {
            streamedBody.add(content.content().retain());
        } else if (head != null) {
            buffer(content.content());
        }
        if (content instanceof LastHttpContent) {
            state.requestReceived();
            resumeReading();
            endRequest();
        } else if (receivedBytes > TransferLimits.MAX_BUFFERED_BYTES && streamedBody == null) {
            streamedBody = new RequestBody(this, contentLength, buffered);
            buffered = null;
            hand(HttpBodies.EMPTY);
        }
    }

    private void buffer(ByteBuf bytes) {
        if (buffered == null) {
            // Not of the announced length, as the body may never arrive.
            buffered = TransferLimits.ALLOCATOR.buffer(bytes.readableBytes());
        }
        buffered.writeBytes(bytes);
    }

    private void endRequest() {
        if (localResponse != null) {
            listener.onLocalResponse(localResponse.status, localResponse.body);
        } else if (streamedBody != null) {
            state.proveClient();
            streamedBody.end();
        } else {
            byte[] body = buffered == null ? HttpBodies.EMPTY : ByteBufUtil.getBytes(buffered);
            discardBuffered();
            hand(body);
        }
    }

    private void hand(byte[] body) {
        if (!state.isReceiving()) {
            state.proveClient();
        }
        listener.onRequest(new ClientRequest(head, body, streamedBody, partArrivedAtNanos));
    }

    // ---------------------------------------------------------------- flow control of a streamed body

    @Override
    public void pauseReading() {
        if (!state.isResponseStarted()) {
            readingPaused = true;
            channel.config().setAutoRead(false);
        }
    }

    @Override
    public void resumeReading() {
        readingPaused = false;
        state.touch();
        if (!pipelined.isFull()) {
            channel.config().setAutoRead(true);
        }
    }

    /** Sends on to the server what has been read of a streamed body. */
    void flush() {
        if (streamedBody != null) {
            streamedBody.flush();
        }
    }

    // ---------------------------------------------------------------- the end of a request

    /** Drops what is buffered of the body. */
    void discardBuffered() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    /** The response has been started: a local one is no longer due. */
    void cancelLocalResponse() {
        localResponse = null;
    }

    /** The response has been started: the rest of a streamed body is read on and dropped. */
    void stopStreaming() {
        if (streamedBody != null) {
            streamedBody = null;
            resumeReading();
        }
    }

    /** The exchange is over. */
    void forgetHead() {
        head = null;
    }

    /** The request that is being read, or null. */
    ClientRequest.Head head() {
        return head;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    boolean isStreaming() {
        return streamedBody != null;
    }

    boolean isReadingPaused() {
        return readingPaused;
    }
}
