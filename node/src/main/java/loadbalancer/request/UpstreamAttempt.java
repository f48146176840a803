package loadbalancer.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.ClientConnection;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.upstream.LoadReportDecoder;
import loadbalancer.upstream.UpstreamExchange;

/**
 * One attempt of a request at one server, buffered or streamed.
 *
 * <p>It ends once, by {@link #onEnded}: by the pool, by its timeout, or because it is cancelled. From then on the
 * timer is cancelled, the pool no longer has it, and the balancer is to hear of its outcome. Parts of a response that
 * nobody wants are released here. Runs on the event loop.
 */
final class UpstreamAttempt implements UpstreamExchange {
    private static final long NOT_STARTED = 0;

    private final ProxiedRequest request;
    private final int number;
    private final String serverId;
    private final RequestServices services;
    private final long createdAtUs;
    private final long startByUs;
    private final long endByUs;

    /** From when the server could work on the request, and when it began to respond. */
    private long requestReceivedAtUs;

    private long responseStartedAtUs = NOT_STARTED;

    /** What is streamed of it; null where nothing is. */
    private AttemptStream stream;

    private Future<?> timeout;
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
        this.endByUs = endByUs;
        this.services = services;
        createdAtUs = services.clock().nowUs();
        requestReceivedAtUs = createdAtUs;
    }

    int number() {
        return number;
    }

    boolean isEnded() {
        return ended;
    }

    private long deadlineUs() {
        return Math.min(endByUs, request.deadlineUs());
    }

    // ---------------------------------------------------------------- the request

    /** Starts it, unless it has ended or is moot by now. */
    void start() {
        if (ended) {
            return;
        }
        if (deadlineUs() <= createdAtUs || !request.allowsAttempt(number)) {
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

    /** Something of it is streamed from now on, and is checked for stalls. */
    private void startStreaming() {
        services.streaming().add(this);
        if (stream == null) {
            stream = new AttemptStream(services.clock(), createdAtUs);
        }
    }

    /** All of the request has arrived: its time runs. */
    void onRequestReceived() {
        requestReceivedAtUs = services.clock().nowUs();
        scheduleTimeout();
    }

    @Override
    public boolean mayStart() {
        return services.clock().nowUs() <= startByUs;
    }

    @Override
    public FullHttpRequest createMessage() {
        request.onAttemptWriting(this);
        long remainingUs = request.isReceived()
                ? deadlineUs() - services.clock().nowUs()
                : request.clientRequest().head().remainingUs();
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
        if (timeout != null) {
            timeout.cancel(false);
            if (length < 0) {
                scheduleAt(deadlineUs() + AttemptStream.LATE_STALL_TIMEOUT_US, this::expireIfStalled);
            }
        }
        if (request.startResponse(this, length, stream)) {
            services.events()
                    .submit(
                            request,
                            balancer -> balancer.onFirstByte(services.clock().nowUs(), request.id(), number));
        }
    }

    @Override
    public void onResponsePart(ByteBuf part) {
        stream.onResponsePart(part.readableBytes());
        ClientConnection client = request.receiverOf(this);
        if (client != null) {
            client.writeResponsePart(part);
        } else {
            part.release();
        }
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

    private void scheduleTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
        scheduleAt(deadlineUs(), this::expire);
    }

    private void scheduleAt(long atUs, Runnable task) {
        timeout = services.loop().schedule(task, atUs - services.clock().nowUs(), TimeUnit.MICROSECONDS);
    }

    /** Ends a small late response that has stalled, or looks again later. */
    private void expireIfStalled() {
        if (stream.isLargeResponse()) {
            // Its first bytes were due in time, and its rest for as long as the server sends it.
            return;
        }
        long nowUs = services.clock().nowUs();
        if (stream.isStalledLate(nowUs)) {
            expire();
        } else {
            scheduleAt(stream.nextLateCheckUs(nowUs), this::expireIfStalled);
        }
    }

    /** Whether something of it is streamed and the server has neither taken nor sent anything for too long. */
    boolean isStalled(long nowUs) {
        return stream.isStalled(streamedBody(), nowUs);
    }

    // ---------------------------------------------------------------- its end

    /** Ends it as its time is up. What was not written in full is known not to have run. */
    void expire() {
        boolean mayHaveRun = services.pool().abort(serverId, this);
        onEnded(mayHaveRun ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
    }

    /** Cancels it, unless it has ended. */
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
        if (timeout != null) {
            timeout.cancel(false);
        }
        request.onAttemptEnded(this, result, body);
        // Of a streamed response only the server's time counts, not how long client and server took to transfer it.
        long respondedAtUs =
                responseStartedAtUs == NOT_STARTED ? services.clock().nowUs() : responseStartedAtUs;
        long latencyUs = Math.max(0, respondedAtUs - requestReceivedAtUs);
        services.events().submit(request, balancer -> {
            request.onAttemptReported();
            balancer.onOutcome(
                    services.clock().nowUs(),
                    new AttemptOutcome(request.id(), number, result, latencyUs, request.isEnded(), loadReport));
        });
    }
}
