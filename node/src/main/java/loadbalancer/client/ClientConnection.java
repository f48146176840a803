package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.http.HttpBodies;
import loadbalancer.transfer.FlowControl;

/**
 * The last handler in the pipeline of a client's connection. It serves one request at a time and queues pipelined ones.
 *
 * <p>{@link RequestAssembler} reads requests, {@link ResponseWriter} writes responses, and {@link ConnectionTimeouts}
 * detects slow clients; they share the {@link ConnectionState}. {@link ConnectionCloser} closes the connection. The
 * handler of a request sends exactly one response: by {@link #sendResponse}, or by {@link #startResponse} followed by
 * {@link #endResponse} or {@link #abortResponse}.
 *
 * <p>{@link ClientPresence} tells whether the client is still there. When the channel becomes inactive, the close
 * listener of the open request is notified, and pipelined requests are dropped without being sent to a server.
 *
 * <p>All methods are called on the event loop. This handler releases the inbound messages that it reads. The channel
 * releases the parts of responses that are written to it.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** How many requests one connection starts in a turn of the event loop. */
    private static final int MAX_REQUESTS_PER_TURN = 8;

    private final ClientConnectionOwner owner;
    private final SocketChannel channel;
    private final StrictServerCodec codec;
    private final ConnectionState state = new ConnectionState();
    private final PipelinedMessages pipelined;
    private final ReadAheadHandler readAhead;
    private final TurnQuota turnQuota;
    private final RequestAssembler assembler;
    private final ResponseWriter writer;
    private final ClientPresence presence;
    private final ConnectionCloser closer;

    /** @param openedAtNanos the earliest time at which the client may have opened the connection */
    ClientConnection(SocketChannel channel, ClientConnectionOwner owner, long openedAtNanos) {
        this.channel = channel;
        this.owner = owner;
        pipelined = new PipelinedMessages(request -> owner.reader().classIndexOf(request));
        EarliestArrival earliestArrival = new EarliestArrival(owner.lagMeter(), openedAtNanos);
        readAhead = new ReadAheadHandler(owner.readAheadBudget(), new Input(), owner.lagMeter(), earliestArrival);
        codec = new StrictServerCodec(readAhead::isPaused);
        turnQuota = new TurnQuota(owner.lagMeter(), MAX_REQUESTS_PER_TURN);
        assembler = new RequestAssembler(channel, readAhead, state, pipelined, owner, new AssemblerListener());
        writer = new ResponseWriter(channel, state, written -> onResponseWritten());
        presence = new ClientPresence(channel, readAhead, owner.readAheadBudget());
        ConnectionTimeouts timeouts = new ConnectionTimeouts(state, assembler, writer);
        closer = new ConnectionCloser(channel, state, codec, pipelined, readAhead, earliestArrival, presence, timeouts);
    }

    /** Adds the handlers of this connection to the pipeline of its channel. */
    void addHandlers() {
        channel.pipeline().addLast(readAhead, codec, this);
    }

    /** Takes the input that is read ahead. */
    private final class Input implements InputListener {
        @Override
        public boolean isReadAheadUseful() {
            return !assembler.isBodyBeingSent();
        }

        @Override
        public boolean isBodyWaiting() {
            return assembler.isReadingPaused();
        }

        @Override
        public void onInputOverflow() {
            owner.onInputOverflow(readAhead.heldBytes());
            pipelined.startRejecting();
            readAhead.resume();
        }

        @Override
        public void onInputCaughtUp() {
            pipelined.stopRejecting();
        }
    }

    /** Returns what closes this connection when the node decides so. */
    ConnectionCloser closer() {
        return closer;
    }

    /** Returns what tells whether the client of the open request is still there. */
    public ClientPresence presence() {
        return presence;
    }

    // ---------------------------------------------------------------- requests

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (!state.isKeepAlive() && !state.isReceiving()) {
            return;
        }
        if (state.isRequestReceived() || !pipelined.isEmpty()) {
            queue(part);
            return;
        }
        assembler.read(part, readAhead.arrivedAtNanos());
    }

    private void queue(HttpObject part) {
        pipelined.add(part, readAhead.arrivedAtNanos());
        if (pipelined.isFull()) {
            readAhead.pause();
        } else if (pipelined.isRejecting()
                && part instanceof HttpRequest
                && owner.rejectionQuota().isUsedUp()) {
            readAhead.yieldTurn();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        assembler.flush();
    }

    /** Passes assembled requests to the owner and sends the responses that need no server. */
    private final class AssemblerListener implements RequestAssembler.Listener {
        @Override
        public void onRequestStarted() {
            if (turnQuota.isUsedUp()) {
                readAhead.yieldTurn();
            }
            owner.onRequestStarted(ClientConnection.this);
        }

        @Override
        public void onRequest(ClientRequest request) {
            try {
                owner.onRequest(ClientConnection.this, request);
            } catch (RuntimeException | Error e) {
                // A programming error must not leave the request without a response. A handler that has set a close
                // listener has taken the request over and is responsible for its response.
                Log.error("request_error", e, "uri", request.head().uri());
                if (!presence.isResponseDue()) {
                    sendResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, HttpBodies.EMPTY, 0);
                }
            }
        }

        @Override
        public void onLocalResponse(HttpResponseStatus status, byte[] body) {
            sendResponse(status, body, 0);
        }

        @Override
        public void onUnreadable(HttpResponseStatus status) {
            state.disableKeepAlive();
            if (state.isServing() && state.isResponseStarted()) {
                channel.close();
                return;
            }
            state.requestRejected();
            ClientPresence.CloseListener listener = presence.removeListener();
            sendResponse(status, HttpBodies.EMPTY, 0);
            if (listener != null) {
                listener.onClientGone();
            }
        }

        @Override
        public void onRestDiscarded() {
            endExchangeIfDone();
        }
    }

    /** Returns whether the client has sent something behind the open request. */
    public boolean hasPipelinedInput() {
        return closer.hasPipelinedInput();
    }

    // ---------------------------------------------------------------- responses

    /** Sends a complete response to the open request. {@code retryAfterUs} of 0 sends no Retry-After. */
    public void sendResponse(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        FullHttpResponse response = ResponseWriter.fullResponse(status, body, retryAfterUs);
        presence.removeListener();
        onResponseStarted(response);
        writer.write(response);
    }

    /**
     * Starts a streamed response.
     *
     * @param length the length of the body in bytes, or -1 if it is unknown
     * @param source paused while the client does not read the response
     */
    public void startResponse(long length, FlowControl source) {
        HttpResponse response = writer.streamedResponse(length, assembler.head());
        onResponseStarted(response);
        writer.start(response, source);
    }

    /** Writes the next part of a streamed response without flushing it; takes ownership of the part. */
    public void writeResponsePart(ByteBuf part) {
        writer.writePart(part);
    }

    /** Flushes the parts of a streamed response that have been written. */
    public void flushResponse() {
        writer.flush();
    }

    /** Ends a streamed response. The next request is served once the end has been written to the socket. */
    public void endResponse() {
        presence.removeListener();
        writer.end();
    }

    /** Aborts a streamed response that cannot be completed, by a reset, so that the client detects the truncation. */
    public void abortResponse() {
        presence.removeListener();
        writer.abort();
    }

    /** Records that the response has started. Input that still arrives for the request is dropped. */
    private void onResponseStarted(HttpResponse response) {
        assembler.discardBuffered();
        assembler.cancelLocalResponse();
        state.responseStarted();
        assembler.stopStreaming();
        state.touch();
        // Pipelined requests have already been accepted: a draining node serves them before it closes the connection.
        boolean nextArrived = !state.isReceiving() && closer.hasPipelinedInput();
        boolean last = !state.isKeepAlive() || owner.isDraining() && !nextArrived;
        if (last) {
            writer.markLast(response);
        }
    }

    /**
     * Called when the end of the response has been written to the socket, or its write has failed. Only then is the
     * next request served; otherwise responses would pile up for a client that sends requests and never reads.
     */
    private void onResponseWritten() {
        state.responseWritten();
        endExchangeIfDone();
    }

    private void endExchangeIfDone() {
        if (!state.endExchangeIfDone()) {
            return;
        }
        assembler.clearHead();
        if (!state.isKeepAlive()) {
            closer.shutDown();
        } else if (closer.isQuiescent()) {
            owner.onQuiescent(this);
        } else if (!pipelined.isEmpty()) {
            // In the next turn of the event loop, so that one connection does not keep others from being read.
            channel.eventLoop().schedule(this::servePipelined, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void servePipelined() {
        if (pipelined.isNextRejected() && !state.isServing()) {
            // One in a turn of the event loop: its response is mostly written at once, and the next one is due then.
            reject(pipelined.pollRejected());
        }
        while (!pipelined.isEmpty() && !pipelined.isNextRejected() && !state.isRequestReceived()) {
            PipelinedMessages.Part next = pipelined.poll();
            try {
                assembler.read(next.message(), next.arrivedAtNanos());
            } finally {
                ReferenceCountUtil.release(next.message());
            }
        }
        if (!pipelined.isFull() && !assembler.isReadingPaused()) {
            readAhead.resume();
        }
        assembler.flush();
    }

    private void reject(RejectedRequests.Rejection rejection) {
        owner.onRequestRejected(rejection.classIndex());
        assembler.reject(rejection);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writer.onWritabilityChanged();
    }

    // ---------------------------------------------------------------- closing

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state.connectionClosed();
        assembler.discardBuffered();
        pipelined.release();
        closer.onClosed();
        presence.notifyIfClosed();
        owner.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The client causes I/O errors, e.g. by a reset in the middle of a request; any other error is a bug.
        if (!(cause instanceof IOException)) {
            Log.error("client_connection_error", cause);
        }
        channel.close();
    }
}
