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
import loadbalancer.transfer.RequestBody;
import loadbalancer.transfer.RequestSource;
import loadbalancer.transfer.TransferLimits;

/**
 * Assembles a client's request from its parts: checks the head, buffers a small body and streams a large one.
 *
 * <p>Owns the buffered body until the request is passed to the listener, the body becomes a {@link RequestBody}, or
 * {@link #discardBuffered} is called. The caller of {@link #read} releases the part. All methods are called on the
 * event loop.
 */
final class RequestAssembler implements RequestSource {
    /** Receives the assembled requests. */
    interface Listener {
        /** The head of a request has arrived and is about to be parsed. */
        void onRequestStarted();

        /** A request is ready to be served: it has arrived in full, or its body is streamed. */
        void onRequest(ClientRequest request);

        /** A request has arrived in full to which the node itself responds, with this status and body. */
        void onLocalResponse(HttpResponseStatus status, byte[] body);

        /**
         * The input is rejected with this status and not read any further, so the start of the next request is unknown
         * and the connection must be closed.
         */
        void onUnreadable(HttpResponseStatus status);

        /** The end of a request whose response has already started has been read; its rest was dropped. */
        void onRestDiscarded();
    }

    /** The response that the node itself sends, once the request has arrived in full. */
    private record LocalResponse(HttpResponseStatus status, byte[] body) {}

    private static final String READINESS_PATH = "/up";
    private static final long UNKNOWN_LENGTH = -1;

    private final SocketChannel channel;
    private final ReadAheadHandler readAhead;
    private final ConnectionState state;
    private final PipelinedMessages pipelined;
    private final ClientConnectionOwner owner;
    private final Listener listener;

    /** The head of the current request; null if the node itself responds to it, and between requests. */
    private ClientRequest.Head head;

    private LocalResponse localResponse;
    private long contentLength;
    private long receivedBytes;
    private ByteBuf buffered;
    private RequestBody streamedBody;

    /** The streamed body whose rest is being dropped; null if there is none. */
    private RequestBody droppedBody;

    private boolean readingPaused;

    /** The earliest time at which the current part may have arrived, by {@link System#nanoTime}. */
    private long partArrivedAtNanos;

    RequestAssembler(
            SocketChannel channel,
            ReadAheadHandler readAhead,
            ConnectionState state,
            PipelinedMessages pipelined,
            ClientConnectionOwner owner,
            Listener listener) {
        this.channel = channel;
        this.readAhead = readAhead;
        this.state = state;
        this.pipelined = pipelined;
        this.owner = owner;
        this.listener = listener;
    }

    // ---------------------------------------------------------------- parts

    /** Reads the next part of a request; the caller releases it. */
    void read(HttpObject part, long arrivedAtNanos) {
        partArrivedAtNanos = arrivedAtNanos;
        if (state.isClientValidated() || head != null) {
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

    /**
     * Drops a part of a request whose response has started. The request is read to its end, as the client may read the
     * response only then; a body that exceeds the limit closes the connection.
     */
    private void discard(HttpContent content) {
        receivedBytes += content.content().readableBytes();
        if (receivedBytes > TransferLimits.MAX_BODY_BYTES) {
            channel.close();
        } else if (content instanceof LastHttpContent) {
            state.requestReceived();
            endDroppedBody();
            listener.onRestDiscarded();
        }
    }

    private void endDroppedBody() {
        if (droppedBody != null) {
            RequestBody dropped = droppedBody;
            droppedBody = null;
            dropped.endDropped(partArrivedAtNanos);
        }
    }

    /** Rejects a request that has been dropped; what has not been read of it is read and dropped. */
    void reject(RejectedRequests.Rejection rejection) {
        droppedBody = null;
        head = null;
        receivedBytes = 0;
        state.requestStarted(rejection.keepAlive());
        if (rejection.received()) {
            state.requestReceived();
        }
        listener.onLocalResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, HttpBodies.EMPTY);
    }

    private void readHead(HttpRequest request) {
        droppedBody = null;
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
        if (!TransferCodings.hasOnlyChunkedCoding(request)) {
            listener.onUnreadable(HttpResponseStatus.BAD_REQUEST);
        } else if (contentLength > maxBodyBytes()) {
            listener.onUnreadable(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            handleExpectation(request);
        }
    }

    /** Decides whether the request goes to a server or the node itself responds to it. */
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

    private void handleExpectation(HttpRequest request) {
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
            dispatch(HttpBodies.EMPTY);
        }
    }

    private void buffer(ByteBuf bytes) {
        if (buffered == null) {
            // Not sized by Content-Length, as the body may never arrive.
            buffered = TransferLimits.ALLOCATOR.buffer(bytes.readableBytes());
        }
        buffered.writeBytes(bytes);
    }

    private void endRequest() {
        if (localResponse != null) {
            listener.onLocalResponse(localResponse.status, localResponse.body);
        } else if (streamedBody != null) {
            state.markClientValidated();
            streamedBody.end(partArrivedAtNanos);
        } else {
            byte[] body = buffered == null ? HttpBodies.EMPTY : ByteBufUtil.getBytes(buffered);
            discardBuffered();
            dispatch(body);
        }
    }

    private void dispatch(byte[] body) {
        if (!state.isReceiving()) {
            state.markClientValidated();
        }
        listener.onRequest(new ClientRequest(head, body, streamedBody, partArrivedAtNanos));
    }

    // ---------------------------------------------------------------- flow control of a streamed body

    @Override
    public void pauseReading() {
        if (!state.isResponseStarted()) {
            readingPaused = true;
            readAhead.pause();
        }
    }

    @Override
    public void resumeReading() {
        readingPaused = false;
        state.touch();
        if (!pipelined.isFull()) {
            readAhead.resume();
        }
    }

    @Override
    public long writtenSinceNanos(long distance) {
        return readAhead.writtenSinceNanos(distance);
    }

    @Override
    public void whenClientConfirmed(Runnable action) {
        readAhead.whenConfirmed(() -> {
            if (channel.isActive()) {
                action.run();
            }
        });
    }

    /** Flushes to the server the parts of a streamed body that have been read. */
    void flush() {
        if (streamedBody != null) {
            streamedBody.flush();
        }
    }

    // ---------------------------------------------------------------- the end of a request

    /** Releases the buffered body, if any. */
    void discardBuffered() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    /** Drops the local response, as the response to the request has started. */
    void cancelLocalResponse() {
        localResponse = null;
    }

    /** Stops streaming the body, as the response has started; the rest of it is read and dropped. */
    void stopStreaming() {
        if (streamedBody != null) {
            droppedBody = streamedBody;
            streamedBody = null;
            resumeReading();
        }
    }

    /** Forgets the head once the exchange has ended. */
    void clearHead() {
        head = null;
    }

    /** Returns the head of the current request; null if the node itself responds to it, and between requests. */
    ClientRequest.Head head() {
        return head;
    }

    long receivedBytes() {
        return receivedBytes;
    }

    boolean isStreaming() {
        return streamedBody != null;
    }

    /** Returns whether the body of the request is being sent to a server as it arrives. */
    boolean isBodyBeingSent() {
        return streamedBody != null && streamedBody.hasSink() && state.isReceiving();
    }

    /** Returns whether reading is paused because the body of the request waits for a server. */
    boolean isReadingPaused() {
        return readingPaused;
    }
}
