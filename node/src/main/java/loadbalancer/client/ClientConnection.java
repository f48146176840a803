package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import loadbalancer.common.Log;
import loadbalancer.eventloop.LoopLagMeter;
import loadbalancer.http.HttpBodies;
import loadbalancer.transfer.FlowControl;

/**
 * The last handler of a client's connection. It serves one request at a time; pipelined ones wait their turn.
 *
 * <p>{@link RequestAssembler} reads requests, {@link ResponseWriter} writes responses, {@link LingeringClose} ends the
 * connection, and {@link ConnectionState} is what they share. Whoever handles a request owes it exactly one response,
 * by {@link #sendResponse} or by {@link #startResponse} and what follows it.
 *
 * <p>All methods run on the event loop. Parts of requests are released by this handler, parts of responses that are
 * given to it by the channel.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Learns that the client of an open request is gone. */
    public interface CloseListener {
        /** Called once if the client has closed before it had its response, or has lost the right to one. */
        void onClientGone();
    }

    /** The server that has accepted the connection. */
    interface Owner {
        /** How far what is read is behind what has arrived. */
        LoopLagMeter lagMeter();

        /** The reader for requests that begin now. */
        RequestReader reader();

        /** Whether every response is to end its connection. */
        boolean isDraining();

        /** The status that a readiness check gets. */
        HttpResponseStatus readiness();

        /** The client has begun a request: others have been idle for longer. */
        void onRequestStarted(ClientConnection client);

        /** A request can be served; it is owed one {@link #sendResponse}. */
        void onRequest(ClientConnection client, ClientRequest request);

        /** The connection is closed. */
        void onClosed(ClientConnection client);
    }

    private final Owner owner;
    private final SocketChannel channel;
    private final StrictServerCodec codec;
    private final ConnectionState state = new ConnectionState();
    private final PipelinedMessages pipelined = new PipelinedMessages();
    private final RequestAssembler assembler;
    private final ResponseWriter writer;
    private final ConnectionTimeouts timeouts;
    private final LingeringClose lingeringClose;

    /** The turn of the loop in which the connection was accepted, and when it may have been opened. */
    private final long acceptedInTurn;

    private final long openedAtNanos;

    /** The request that is open, as its handler knows it; null where no response is due to one. */
    private CloseListener closeListener;

    ClientConnection(SocketChannel channel, StrictServerCodec codec, Owner owner) {
        this.channel = channel;
        this.codec = codec;
        this.owner = owner;
        assembler = new RequestAssembler(channel, state, pipelined, owner, new AssembledRequests());
        writer = new ResponseWriter(channel, state, written -> onResponseWritten());
        timeouts = new ConnectionTimeouts(state, assembler, writer);
        lingeringClose = new LingeringClose(channel);
        acceptedInTurn = owner.lagMeter().turnNumber();
        openedAtNanos = owner.lagMeter().earliestArrivalNanos();
    }

    /** Whether it is open and nothing is owed on it. One that is being closed is not idle: it frees no room again. */
    boolean isIdle() {
        return !state.isServing() && pipelined.isEmpty() && channel.isOpen();
    }

    /** Whether it is idle and no part of a request has arrived either: its client has been promised nothing. */
    boolean isQuiescent() {
        return isIdle() && !codec.isAmidMessage();
    }

    /** Whether the client has let it wait for too long. */
    boolean isOverdue(long nowNanos) {
        return timeouts.isOverdue(nowNanos, closeListener != null);
    }

    /** Closes it at once. */
    void close() {
        channel.close();
    }

    /** Closes it such that responses on their way still arrive. */
    void shutDown() {
        state.disableKeepAlive();
        lingeringClose.start(pipelined::release);
    }

    /** Notifies the listener, once, if the client's end has been read; else that happens a little later. */
    public void notifyIfClosed() {
        CloseListener listener = closeListener;
        if (!channel.isActive() && listener != null) {
            closeListener = null;
            listener.onClientGone();
        }
    }

    /** Sets who is notified if the client leaves before the response to the open request has ended. */
    public void setCloseListener(CloseListener listener) {
        closeListener = listener;
    }

    // ---------------------------------------------------------------- requests

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (!state.isKeepAlive() && !state.isReceiving()) {
            return;
        }
        long arrivedAtNanos = earliestArrivalNanos();
        if (state.isRequestReceived()) {
            // Pipelined. Reading goes on as long as there is room: that the client has left shows only by reading.
            pipelined.add(part, arrivedAtNanos);
            if (pipelined.isFull()) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        assembler.read(part, arrivedAtNanos);
    }

    /** What is read in the first turn after the accept may have arrived with the connection. */
    private long earliestArrivalNanos() {
        long arrivedAtNanos = owner.lagMeter().earliestArrivalNanos();
        boolean arrivedWithConnection = owner.lagMeter().turnNumber() <= acceptedInTurn + 1;
        return arrivedWithConnection ? Math.min(arrivedAtNanos, openedAtNanos) : arrivedAtNanos;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        assembler.flush();
    }

    /** What the assembler makes of the parts that it is given. */
    private final class AssembledRequests implements RequestAssembler.Listener {
        @Override
        public void onRequestStarted() {
            owner.onRequestStarted(ClientConnection.this);
        }

        @Override
        public void onRequest(ClientRequest request) {
            try {
                owner.onRequest(ClientConnection.this, request);
            } catch (RuntimeException e) {
                // A programming error that one request meets must not leave the request without a response.
                Log.error("request_error", e, "uri", request.head().uri());
                if (closeListener == null) {
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
            CloseListener listener = closeListener;
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

    // ---------------------------------------------------------------- responses

    /** Sends the whole response to the open request; {@code retryAfterUs} of 0 gives no advice on when to retry. */
    public void sendResponse(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        FullHttpResponse response = ResponseWriter.fullResponse(status, body, retryAfterUs);
        closeListener = null;
        onResponseStarted(response);
        writer.write(response);
    }

    /** Starts a streamed response of this length, or of -1 where the length is not known. */
    public void startResponse(long length, FlowControl source) {
        HttpResponse response = writer.streamedResponse(length, assembler.head());
        onResponseStarted(response);
        writer.start(response, source);
    }

    /** Writes the next part of a streamed response; takes the part over. */
    public void writeResponsePart(ByteBuf part) {
        writer.writePart(part);
    }

    /** Flushes what has been written of a streamed response. */
    public void flushResponse() {
        writer.flush();
    }

    /** Ends a streamed response and goes on to the next request. */
    public void endResponse() {
        closeListener = null;
        writer.end();
    }

    /** Breaks off a streamed response whose rest will not come, so that the client can tell. */
    public void abortResponse() {
        closeListener = null;
        writer.abort();
    }

    /** What the client still sends of the request is of no more use. */
    private void onResponseStarted(HttpResponse response) {
        assembler.discardBuffered();
        assembler.cancelLocalResponse();
        state.responseStarted();
        assembler.stopStreaming();
        state.touch();
        // Pipelined requests have been accepted, and are answered before the connection ends.
        boolean last = !state.isKeepAlive() || owner.isDraining() && pipelined.isEmpty();
        if (last) {
            writer.markLast(response);
        }
    }

    /** The next request is served only once a response is written out: a client may send requests and never read. */
    private void onResponseWritten() {
        state.responseWritten();
        endExchangeIfDone();
    }

    private void endExchangeIfDone() {
        if (!state.endExchangeIfDone()) {
            return;
        }
        assembler.forgetHead();
        if (!state.isKeepAlive()) {
            shutDown();
        } else if (!pipelined.isEmpty()) {
            channel.eventLoop().execute(this::servePipelined);
        }
    }

    private void servePipelined() {
        while (!pipelined.isEmpty() && !state.isRequestReceived()) {
            PipelinedMessages.Part next = pipelined.poll();
            try {
                assembler.read(next.message(), next.arrivedAtNanos());
            } finally {
                ReferenceCountUtil.release(next.message());
            }
        }
        if (!pipelined.isFull() && !assembler.isReadingPaused()) {
            channel.config().setAutoRead(true);
        }
        assembler.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        writer.onWritabilityChanged();
    }

    // ---------------------------------------------------------------- the end

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        state.connectionClosed();
        assembler.discardBuffered();
        pipelined.release();
        lingeringClose.cancel();
        notifyIfClosed();
        owner.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // An I/O error is the client's, who may leave amid a request; anything else is a programming error.
        if (!(cause instanceof IOException)) {
            Log.error("client_connection_error", cause);
        }
        channel.close();
    }
}
