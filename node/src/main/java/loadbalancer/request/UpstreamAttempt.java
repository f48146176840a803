package loadbalancer.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.function.Consumer;
import loadbalancer.client.ClientConnection;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.LoadReport;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.upstream.LoadReportDecoder;
import loadbalancer.upstream.UpstreamExchange;

/**
 * One attempt of a request at one server, with buffered or streamed bodies.
 *
 * <p>Ends once, by {@link #onEnded}: called by the pool, by a timeout or by {@link #cancel}. From then on its timer is
 * cancelled, the pool does not hold it, and its outcome has been submitted to the balancer.
 *
 * <p>The result tells whether the server may have run the request ({@link AttemptResult#neverRan}). Until the whole
 * request has been written to the socket, the lack or loss of a connection or a timeout ends the attempt as
 * {@link AttemptResult#CONNECT_FAILED}: the server has not run it. After that, the loss of the connection ends it as
 * {@link AttemptResult#RESET} and a timeout as {@link AttemptResult#TIMEOUT}: the server may have run it. A response
 * that cannot be used ends it as RESET, and {@link #cancel} as {@link AttemptResult#CANCELLED}; both count as "may have
 * run", whatever has been written. A complete response decides by its status: {@link AttemptResult#FULL} means that the
 * server has not run the request. An attempt that is no longer wanted when it starts, or whose server is not ready,
 * ends as {@link AttemptResult#MOOT} without being sent.
 *
 * <p>Parts of a response that are not forwarded to the client are released here. All methods are called on the event
 * loop.
 */
final class UpstreamAttempt implements UpstreamExchange {
    private static final long NOT_STARTED = 0;

    /**
     * How long the beginning of a response of unknown length is held back, from its first part. The time of the first
     * bytes of a large one counts. Servers need much less time to write a response that is ready.
     */
    private static final long MAX_BUFFERING_US = 50_000;

    private final ProxiedRequest request;
    private final int number;
    private final String serverId;
    private final RequestServices services;
    private final long createdAtUs;
    private final long startByUs;

    /** Start of the measured latency: when the attempt was created or, if later, the request had arrived in full. */
    private long requestReceivedAtUs;

    /** When the streamed response started, or {@link #NOT_STARTED}. */
    private long responseStartedAtUs = NOT_STARTED;

    /** The state of what is streamed; null if nothing is. */
    private AttemptStream stream;

    /** What has arrived of the response; null until its head has. */
    private ResponseProgress response;

    /** Whether it has not started because it is not known whether its client has left. */
    private boolean awaitsClient;

    private final AttemptDeadline deadline;
    private LoadReport loadReport;
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param startByUs the latest time at which it may start on a connection
     * @param endByUs the latest time at which it may end
     */
    UpstreamAttempt(
            ProxiedRequest request,
            int number,
            String serverId,
            long startByUs,
            long endByUs,
            RequestServices services) {
        this.request = request;
        this.number = number;
        this.serverId = serverId;
        this.startByUs = startByUs;
        this.services = services;
        deadline = new AttemptDeadline(this, request, endByUs, services);
        createdAtUs = services.clock().nowUs();
        requestReceivedAtUs = createdAtUs;
    }

    int number() {
        return number;
    }

    String serverId() {
        return serverId;
    }

    /** Returns what has arrived of the response, or null if its head has not. */
    ResponseProgress response() {
        return response;
    }

    boolean isEnded() {
        return ended;
    }

    /** Returns whether the response is being streamed, or has been. */
    boolean isResponseStarted() {
        return responseStartedAtUs != NOT_STARTED;
    }

    // ---------------------------------------------------------------- the request

    /**
     * Starts the attempt once its client is known to be there. If that does not become known in time, the attempt ends
     * as {@link AttemptResult#MOOT}.
     */
    void startWhenClientConfirmed() {
        if (ended) {
            return;
        }
        if (!request.clientPresence().isConfirmed()) {
            awaitsClient = true;
            deadline.schedule();
        }
        request.clientPresence().whenConfirmed(this::start);
    }

    /**
     * Starts the attempt in the pool, unless it has ended. Ends it as {@link AttemptResult#MOOT} if it is too late for
     * it or the request no longer allows an attempt.
     */
    private void start() {
        if (ended) {
            return;
        }
        awaitsClient = false;
        deadline.cancel();
        if (deadline.endUs() <= services.clock().nowUs() || !mayStart() || !request.allowsAttempt(number)) {
            onEnded(AttemptResult.MOOT, HttpBodies.EMPTY);
            return;
        }
        if (request.isReceived()) {
            scheduleTimeout();
        }
        if (streamedBody() != null) {
            startStreaming();
        }
        services.pool().start(serverId, this);
    }

    /** Adds the attempt to those that are checked for stalls, as it streams something from now on. */
    private void startStreaming() {
        services.streaming().add(this);
        if (stream == null) {
            stream = new AttemptStream(services.clock(), createdAtUs);
        }
    }

    /**
     * Limits the time for which the server takes nothing of a body that has not arrived in full: the client may have
     * sent all of it when the node stopped to read it, and its time runs from then.
     */
    void onBodyBlocked(boolean blocked) {
        deadline.cancel();
        if (blocked && !isResponseStarted()) {
            deadline.schedule();
        }
    }

    /** Starts the timeout, as the client has sent the whole request. */
    void onRequestReceived() {
        if (!isResponseStarted()) {
            requestReceivedAtUs = services.clock().nowUs();
        }
        scheduleTimeout();
    }

    @Override
    public boolean mayStart() {
        return services.clock().nowUs() <= startByUs && !request.isClientGone();
    }

    @Override
    public boolean postponeStart() {
        if (request.clientPresence().isConfirmed()) {
            return false;
        }
        startWhenClientConfirmed();
        return true;
    }

    @Override
    public FullHttpRequest createMessage() {
        request.onAttemptWriting(this);
        // Otherwise the end of the body is held back until the client is confirmed.
        if (request.isReceived() && request.clientPresence().isUnconfirmed()) {
            services.metrics().onUnconfirmedAttempt();
            AttemptLog.logUnconfirmedClient(request, serverId, number);
        }
        long remainingUs = deadline.endUs() - services.clock().nowUs();
        return UpstreamMessageFactory.attempt(request.clientRequest(), request.className(), remainingUs);
    }

    @Override
    public RequestBody streamedBody() {
        return request.clientRequest().streamedBody();
    }

    @Override
    public void onRequestWritten() {
        services.metrics().onAttemptWritten();
    }

    // ---------------------------------------------------------------- the response

    @Override
    public void onResponseStarted(long length, FlowControl source) {
        responseStartedAtUs = services.clock().nowUs();
        startStreaming();
        stream.onResponseStarted(source);
        if (length >= 0 || !request.isReceived()) {
            deadline.cancel();
        }
        if (request.startResponse(this, length, stream)) {
            notifyBalancer(balancer -> balancer.onFirstByte(services.clock().nowUs(), request.id(), number));
        }
    }

    @Override
    public void onResponsePart(ByteBuf part) {
        stream.onResponsePart();
        ClientConnection client = request.receiverOf(this);
        if (client != null) {
            client.writeResponsePart(part);
        } else {
            part.release();
        }
    }

    @Override
    public long maxBufferingUs() {
        if (!request.mayStreamResponse()) {
            return Long.MAX_VALUE;
        }
        // A response that is cut off would take the requests behind it with it.
        boolean mayBeReplaced = request.hasRequestBehind() && !deadline.isDecided();
        return mayBeReplaced ? Long.MAX_VALUE : Math.min(MAX_BUFFERING_US, deadline.remainingUs());
    }

    @Override
    public void onResponseHead(long length) {
        response = new ResponseProgress(length, services.clock().nowUs());
    }

    @Override
    public void onResponseBytes(int bytes) {
        if (response.bytes() == 0 && response.isLengthUnknown()) {
            notifyBalancer(
                    balancer -> balancer.onResponseProgress(services.clock().nowUs(), request.id(), number));
        }
        response.onArrival(bytes, services.clock().nowUs());
    }

    private void notifyBalancer(Consumer<Balancer> event) {
        services.events().submit(request, event);
    }

    @Override
    public void onResponseReadComplete() {
        ClientConnection client = request.receiverOf(this);
        if (client != null) {
            client.flushResponse();
        }
    }

    @Override
    public void onLoadReport(String report) {
        loadReport = LoadReportDecoder.decode(report, services.loadReportFields());
    }

    // ---------------------------------------------------------------- timeouts

    /** Schedules the deadline of the response, which one of known length meets once it is streamed. */
    private void scheduleTimeout() {
        deadline.cancel();
        if (!isResponseStarted() || response.isLengthUnknown()) {
            deadline.schedule();
        }
    }

    /** Returns whether the server has stalled the streamed request or response for too long. */
    boolean isStalled(long nowUs) {
        return stream.isStalled(streamedBody(), nowUs);
    }

    // ---------------------------------------------------------------- end

    /** Ends the attempt before the end of the process, unless its streamed response is a large one. */
    void expireUnlessLarge() {
        if (LateResponseRule.decide(response, services.clock().nowUs()) == LateResponseRule.Verdict.EXPIRE) {
            expire(EndReason.SHUTDOWN);
        }
    }

    /** Ends the attempt. If no response has started and the request was not written in full, it has not run. */
    void expire(EndReason reason) {
        if (awaitsClient) {
            onEnded(AttemptResult.MOOT, HttpBodies.EMPTY);
            return;
        }
        AttemptLog.recordExpiry(this, request, reason, services);
        boolean requestWritten = services.pool().abort(serverId, this);
        boolean mayHaveRun = requestWritten || isResponseStarted();
        onEnded(mayHaveRun ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
    }

    /** Cancels the attempt, unless it has ended. */
    void cancel() {
        if (!ended) {
            services.pool().abort(serverId, this);
            onEnded(AttemptResult.CANCELLED, HttpBodies.EMPTY);
        }
    }

    @Override
    public void onEnded(AttemptResult result, byte[] body) {
        if (ended) {
            return;
        }
        ended = true;
        services.streaming().remove(this);
        deadline.cancel();
        request.onAttemptEnded(this, result, body);
        // The latency of a streamed response ends with its start: the transfer also depends on the client.
        long respondedAtUs =
                isResponseStarted() ? responseStartedAtUs : services.clock().nowUs();
        long latencyUs = Math.max(0, respondedAtUs - requestReceivedAtUs);
        services.events().submit(request, balancer -> {
            request.onAttemptReported();
            balancer.onOutcome(
                    services.clock().nowUs(),
                    new AttemptOutcome(request.id(), number, result, latencyUs, request.isEnded(), loadReport));
        });
    }
}
