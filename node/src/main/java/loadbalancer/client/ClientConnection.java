package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.eventloop.LoopLagMeter;
import loadbalancer.http.TransferCodings;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.transfer.TransferLimits;

/**
 * A client's connection: one request at a time, further ones wait their turn. It is long because reading,
 * answering and closing share one state, which would otherwise only be passed about.
 */
public final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> implements FlowControl {
    /** What becomes of a request; told once. */
    public interface CloseListener {
        /** The client has closed before it had its answer, or lost the right to one. */
        void onClientGone();
    }

    /** Whoever has accepted the connection. */
    interface Owner {
        /** How far what is read is behind what has come. */
        LoopLagMeter lagMeter();

        /** What requests are read by now. */
        RequestReader reader();

        /** Whether every answer is to end its connection. */
        boolean isDraining();

        /** What {@code GET /up} is answered. */
        HttpResponseStatus readiness();

        /** It has begun to ask: others have been idle for longer. */
        void onRequestStarted(ClientConnection client);

        /** A whole request that can be read; it is owed one {@link #sendResponse}. */
        void onRequest(ClientConnection client, ClientRequest request);

        /** It is closed. */
        void onClosed(ClientConnection client);
    }

    private static final byte[] NO_BODY = {};
    /** A client that has asked nothing for so long makes room for others. */
    private static final long MOST_IDLE_NANOS = TimeUnit.SECONDS.toNanos(120);
    /** Whoever connects and asks nothing is owed an end within 3 s, but a head may take 2 s. */
    private static final long MOST_UNPROVEN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);
    /** From then on a first request must come on: no longer pauses, and half the rate of the slowest. */
    private static final long MOST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final double LEAST_BYTES_PER_NANO = 32e3 / 1e9;
    /** Whoever has begun a request and sends no more of it holds a socket and memory for nothing. */
    private static final long MOST_READING_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** So does whoever takes nothing more of an answer, and a connection to a server with it. */
    private static final long MOST_STALL_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** How long what a client still sends is read after the node has ended its side. */
    private static final long LINGER_MS = 2_000;

    private final Owner owner;
    private final SocketChannel channel;
    private final StrictServerCodec codec;
    /** What was sent ahead of the answer that is due. */
    private final PipelinedMessages waiting = new PipelinedMessages();

    private final long connectedAtNanos = System.nanoTime();
    private long activeAtNanos = connectedAtNanos;
    /** The turn of the loop in which it was accepted, and when it may have been opened. */
    private final long acceptedInTurn;

    private final long openedAtNanos;
    /** When, at the earliest, the part came that is taken now. */
    private long partArrivedAtNanos;
    /** Whether it has asked a request that could be read: it is a client, not just any peer. */
    private boolean proven;

    private boolean keepAlive = true;

    /** From a request's first part until its answer is written. */
    private boolean busy;
    /** Whether it has come to its end, or nobody wants the rest. */
    private boolean whole = true;
    /** Whether its answer has begun, and whether it is written. */
    private boolean settled;

    private boolean written;
    private ClientRequest.Head head;
    /** The answer to what is no request that can be taken, once it has come to its end. */
    private Verdict verdict;

    private ByteBuf gathered;
    private long length;
    private long came;
    private RequestBody upload;
    private boolean heldBack;
    /** The end of the time in which what still comes is dropped; null until the node ends its side. */
    private Future<?> lingering;
    /** The request that is open, as its owner knows it. */
    private CloseListener held;

    /** A server's answer that flows to the client, and since when the client takes no more of it. */
    private FlowControl answering;

    private long stalledSinceNanos;

    ClientConnection(SocketChannel channel, StrictServerCodec codec, Owner owner) {
        this.channel = channel;
        this.codec = codec;
        this.owner = owner;
        acceptedInTurn = owner.lagMeter().turnNumber();
        openedAtNanos = owner.lagMeter().earliestArrivalNanos();
    }

    /** Whether it is open and nothing is owed on it; one that is being closed gives no room by it again. */
    boolean isIdle() {
        return !busy && waiting.isEmpty() && channel.isOpen();
    }

    /** Whether it is idle and no part of a request has come either: its client has been promised nothing. */
    boolean isResting() {
        return isIdle() && !codec.isAmidMessage();
    }

    /** Whether it has been waited for too long: for a request, for the rest of one, or to read. */
    boolean isOverdue(long now) {
        if (answering != null) {
            return stalledSinceNanos != 0 && now - stalledSinceNanos > MOST_STALL_NANOS;
        }
        if (held != null && upload == null || heldBack && !settled) {
            return false;
        }
        long silence = now - activeAtNanos;
        if (proven) {
            return silence > (busy && !whole ? MOST_READING_NANOS : MOST_IDLE_NANOS);
        }
        long since = now - connectedAtNanos;
        // What flows is no slower than the server that takes it.
        boolean slow = upload == null
                && came + TransferLimits.MAX_READ_BYTES < LEAST_BYTES_PER_NANO * (since - MOST_UNPROVEN_NANOS);
        return since > MOST_UNPROVEN_NANOS && (silence > MOST_PAUSE_NANOS || head == null || slow);
    }

    /** Nobody waits any more for what it may ask. */
    void close() {
        channel.close();
    }

    /**
     * Ends the node's side alone, and reads and drops what still comes until the client ends its own: closing
     * over unread bytes would reset the connection, and with it go answers that are still on their way.
     */
    void shutDown() {
        keepAlive = false;
        if (lingering == null && channel.isActive()) {
            waiting.release();
            channel.shutdownOutput();
            channel.config().setAutoRead(true);
            lingering = channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Tells that the client has left, once, if its end has been read; else that is told a little later. */
    public void notifyIfClosed() {
        CloseListener open = held;
        if (!channel.isActive() && open != null) {
            held = null;
            open.onClientGone();
        }
    }

    /** What is told if the client leaves. */
    public void setCloseListener(CloseListener request) {
        held = request;
    }

    // ---------------------------------------------------------------- what it asks

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (!keepAlive && whole) {
            return;
        }
        partArrivedAtNanos = earliestArrivalNanos();
        if (busy && whole) {
            // Sent ahead of the answer. Read on as long as it may wait here: that its client has left is
            // only heard of by reading.
            waiting.add(part, partArrivedAtNanos);
            if (waiting.isFull()) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        take(part);
    }

    /** What is read in the first turn after the accept may have come with the connection. */
    private long earliestArrivalNanos() {
        long arrivalNanos = owner.lagMeter().earliestArrivalNanos();
        boolean cameWithConnection = owner.lagMeter().turnNumber() <= acceptedInTurn + 1;
        return cameWithConnection ? Math.min(arrivalNanos, openedAtNanos) : arrivalNanos;
    }

    private void take(HttpObject part) {
        activeAtNanos = proven || head != null ? System.nanoTime() : activeAtNanos;
        if (part.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(request);
        }
        if (part instanceof HttpContent content && !whole) {
            if (settled) {
                drop(content);
            } else {
                add(content);
            }
        }
    }

    /** The rest of a request that has its answer: read to its end, as the client may read only then. */
    private void drop(HttpContent content) {
        came += content.content().readableBytes();
        if (came > TransferLimits.MAX_BODY_BYTES) {
            channel.close();
        } else if (content instanceof LastHttpContent) {
            whole = true;
            next();
        }
    }

    private void begin(HttpRequest request) {
        busy = true;
        whole = false;
        settled = false;
        written = false;
        keepAlive = HttpUtil.isKeepAlive(request);
        owner.onRequestStarted(this);
        came = 0;
        length = HttpUtil.getContentLength(request, -1L);
        try {
            request.setUri(RequestReader.target(request.uri()));
            String path = RequestReader.path(request.uri());
            if (path.equals("/up")) {
                verdict = new Verdict(owner.readiness(), NO_BODY);
            } else if (RequestReader.isRequestPath(path)) {
                head = owner.reader().read(request);
            } else {
                verdict = new Verdict(HttpResponseStatus.NOT_FOUND, NO_BODY);
            }
        } catch (BadRequestException e) {
            boolean bodiless = request.method().equals(HttpMethod.HEAD);
            verdict = new Verdict(
                    HttpResponseStatus.BAD_REQUEST,
                    bodiless ? NO_BODY : (e.getMessage() + "\n").getBytes(StandardCharsets.UTF_8));
        }
        if (!TransferCodings.isChunkedAtMost(request)) {
            reject(HttpResponseStatus.BAD_REQUEST);
        } else if (length > (head == null ? TransferLimits.MAX_BUFFERED_BYTES : TransferLimits.MAX_BODY_BYTES)) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
            meet(request);
        }
    }

    private void meet(HttpRequest expecting) {
        if (!HttpUtil.is100ContinueExpected(expecting)) {
            reject(HttpResponseStatus.EXPECTATION_FAILED);
        } else if (head != null) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void add(HttpContent content) {
        came += content.content().readableBytes();
        if (came > (head == null ? TransferLimits.MAX_BUFFERED_BYTES : TransferLimits.MAX_BODY_BYTES)) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (upload != null) {
            upload.add(content.content().retain());
        } else if (head != null) {
            gather(content.content());
        }
        if (last) {
            whole = true;
            resumeReading();
            end();
        } else if (came > TransferLimits.MAX_BUFFERED_BYTES && upload == null) {
            upload = new RequestBody(this, length, gathered);
            gathered = null;
            ask(NO_BODY);
        }
    }

    private void gather(ByteBuf bytes) {
        if (gathered == null) {
            // Not for what is announced, which may never come.
            gathered = TransferLimits.ALLOCATOR.buffer(bytes.readableBytes());
        }
        gathered.writeBytes(bytes);
    }

    private void end() {
        if (verdict != null) {
            sendResponse(verdict.status, verdict.body, 0);
        } else if (upload != null) {
            proven = true;
            upload.end();
        } else {
            byte[] body = gathered == null ? NO_BODY : ByteBufUtil.getBytes(gathered);
            letGo();
            ask(body);
        }
    }

    private void ask(byte[] body) {
        proven |= whole;
        try {
            owner.onRequest(this, new ClientRequest(head, body, upload, partArrivedAtNanos));
        } catch (RuntimeException e) {
            // A defect met by one request must not leave it without an answer.
            Log.error("request_error", e, "uri", head.uri());
            if (held == null) {
                sendResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, NO_BODY, 0);
            }
        }
    }

    /** Answers what cannot be read and closes: where the next request would begin is not known. */
    private void reject(HttpResponseStatus status) {
        keepAlive = false;
        if (busy && settled) {
            channel.close();
            return;
        }
        busy = true;
        whole = true;
        written = false;
        CloseListener open = held;
        sendResponse(status, NO_BODY, 0);
        if (open != null) {
            open.onClientGone();
        }
    }

    @Override
    public void pauseReading() {
        if (!settled) {
            heldBack = true;
            channel.config().setAutoRead(false);
        }
    }

    @Override
    public void resumeReading() {
        heldBack = false;
        activeAtNanos = System.nanoTime();
        if (!waiting.isFull()) {
            channel.config().setAutoRead(true);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (upload != null) {
            upload.flush();
        }
    }

    // ---------------------------------------------------------------- what it is answered

    /** The one answer to the request that is open; {@code retryAfterUs} of 0 gives no advice. */
    public void sendResponse(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterUs / 1e6);
        }
        held = null;
        settle(response);
        channel.writeAndFlush(response).addListener(written -> answered());
    }

    /** The beginning of a server's answer of this length, or of -1 where it is not known. */
    public void startResponse(long answerLength, FlowControl from) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (answerLength >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answerLength);
        } else if (head.knowsChunks()) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            keepAlive = false;
        }
        settle(response);
        answering = from;
        channel.write(response);
    }

    /** The answer's next part, which is taken over. */
    public void writeResponsePart(ByteBuf part) {
        channel.write(new DefaultHttpContent(part));
        if (!channel.isWritable() && stalledSinceNanos == 0) {
            stalledSinceNanos = System.nanoTime();
            answering.pauseReading();
        }
    }

    public void flushResponse() {
        channel.flush();
    }

    /** Writes the end of an answer that was sent in parts, and goes on to the next request. */
    public void endResponse() {
        held = null;
        answering = null;
        stalledSinceNanos = 0;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written -> answered());
    }

    /** The rest will not come; by the connection's end the client can tell. */
    public void abortResponse() {
        held = null;
        answering = null;
        // Where nothing but the end tells that an answer is whole, it must be no orderly one.
        channel.config().setSoLinger(0);
        channel.close();
    }

    /** Its answer has begun: what the client still sends of the request is of no more use. */
    private void settle(HttpResponse response) {
        letGo();
        verdict = null;
        settled = true;
        if (upload != null) {
            upload = null;
            resumeReading();
        }
        activeAtNanos = System.nanoTime();
        // What was read ahead has been taken, and is answered before the connection ends.
        if (!keepAlive || owner.isDraining() && waiting.isEmpty()) {
            keepAlive = false;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void letGo() {
        if (gathered != null) {
            gathered.release();
            gathered = null;
        }
    }

    /** Only once an answer is written is it the next one's turn: a client may ask and never read. */
    private void answered() {
        written = true;
        next();
    }

    private void next() {
        if (!whole || !written) {
            return;
        }
        busy = false;
        head = null;
        if (!keepAlive) {
            shutDown();
        } else if (!waiting.isEmpty()) {
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        while (!waiting.isEmpty() && !(busy && whole)) {
            PipelinedMessages.Part next = waiting.poll();
            partArrivedAtNanos = next.arrivedAtNanos();
            try {
                take(next.part());
            } finally {
                ReferenceCountUtil.release(next.part());
            }
        }
        if (!waiting.isFull() && !heldBack) {
            channel.config().setAutoRead(true);
        }
        if (upload != null) {
            upload.flush();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (answering != null && channel.isWritable() && stalledSinceNanos != 0) {
            stalledSinceNanos = 0;
            answering.resumeReading();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        keepAlive = false;
        whole = true;
        busy = true;
        letGo();
        waiting.release();
        if (lingering != null) {
            lingering.cancel(false);
        }
        notifyIfClosed();
        owner.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A client that leaves amid its request is no defect of ours either.
        if (!(cause instanceof IOException)) {
            Log.error("client_connection_error", cause);
        }
        channel.close();
    }

    /** What a request that cannot be taken is answered. */
    private record Verdict(HttpResponseStatus status, byte[] body) {}
}
