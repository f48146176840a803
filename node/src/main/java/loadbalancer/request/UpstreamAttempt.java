package loadbalancer.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.ClientConnection;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.transfer.TransferLimits;
import loadbalancer.upstream.LoadReportDecoder;
import loadbalancer.upstream.UpstreamExchange;

/**
 * One attempt of a request at one server, buffered or streamed.
 *
 * <p>It ends once, by {@link #onEnded}: by the pool, by its timeout, or because it is cancelled. From then on the
 * timer is cancelled, the pool no longer has it, and the balancer is to hear of its outcome. Parts of a response that
 * nobody wants are released here. Runs on the event loop.
 */
final class UpstreamAttempt implements UpstreamExchange, FlowControl {
    private static final byte[] NO_BODY = {};

    /** A server that takes and sends nothing for this long, amid something that is streamed, has failed. */
    private static final long STREAM_STALL_TIMEOUT_US = 10_000_000;

    /**
     * The same for a streamed response of unknown length after the deadline, as long as it may be one whose last byte
     * is due by then: a client takes a response for lost that comes half a second after its deadline.
     */
    private static final long LATE_STALL_TIMEOUT_US = 400_000;

    private static final long NOT_STARTED = 0;

    private final ProxiedRequest request;
    private final int number;
    private final String serverId;
    private final RequestServices services;
    private final long createdAtUs;
    private final long startByUs;
    private final long untilUs;

    /** From when the server could work on the request, and when it began to respond. */
    private long requestReceivedAtUs;

    private long responseStartedAtUs = NOT_STARTED;

    /** When something of it last moved. */
    private long movedAtUs;

    /** How much of a streamed request had been forwarded when it was last checked for a stall. */
    private long checkedForwardedBytes;

    /** Where a streamed response comes from; null until there is one. */
    private FlowControl responseSource;

    private long responseBytes;
    private boolean responsePaused;
    private Future<?> timeout;
    private LoadReport loadReport;
    private boolean ended;

    /**
     * Creates an attempt.
     *
     * @param startByUs the latest time at which it may start on a connection
     * @param untilUs the latest time at which it may end
     */
    UpstreamAttempt(
            ProxiedRequest request,
            int number,
            String serverId,
            long startByUs,
            long untilUs,
            RequestServices services) {
        this.request = request;
        this.number = number;
        this.serverId = serverId;
        this.startByUs = startByUs;
        this.untilUs = untilUs;
        this.services = services;
        createdAtUs = services.clock().nowUs();
        requestReceivedAtUs = createdAtUs;
        movedAtUs = createdAtUs;
    }

    int number() {
        return number;
    }

    boolean isEnded() {
        return ended;
    }

    private long deadlineUs() {
        return Math.min(untilUs, request.deadlineUs());
    }

    // ---------------------------------------------------------------- the request

    /** Starts it, unless it has ended or is moot by now. */
    void start() {
        if (ended) {
            return;
        }
        if (deadlineUs() <= createdAtUs || !request.admitsAttempt(number)) {
            onEnded(AttemptResult.MOOT, NO_BODY);
            return;
        }
        if (request.isReceived()) {
            scheduleTimeout();
        }
        if (streamedBody() != null) {
            services.streaming().add(this);
        }
        services.pool().start(serverId, this);
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
        responseSource = source;
        responseStartedAtUs = services.clock().nowUs();
        services.streaming().add(this);
        if (timeout != null) {
            timeout.cancel(false);
            if (length < 0) {
                scheduleAt(deadlineUs() + LATE_STALL_TIMEOUT_US, this::expireIfStalled);
            }
        }
        if (request.startResponse(length, this)) {
            services.events()
                    .submit(
                            request,
                            balancer -> balancer.onFirstByte(services.clock().nowUs(), request.id(), number));
        }
    }

    @Override
    public void onResponsePart(ByteBuf part) {
        movedAtUs = services.clock().nowUs();
        responseBytes += part.readableBytes();
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

    @Override
    public void pauseReading() {
        responsePaused = true;
        responseSource.pauseReading();
    }

    @Override
    public void resumeReading() {
        responsePaused = false;
        movedAtUs = services.clock().nowUs();
        responseSource.resumeReading();
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
        if (responseBytes > TransferLimits.MAX_BUFFERED_BYTES) {
            // A large response: its first bytes were due in time, and the rest for as long as the server sends it.
            return;
        }
        long nowUs = services.clock().nowUs();
        if (!responsePaused && nowUs - movedAtUs >= LATE_STALL_TIMEOUT_US) {
            expire();
        } else {
            scheduleAt((responsePaused ? nowUs : movedAtUs) + LATE_STALL_TIMEOUT_US, this::expireIfStalled);
        }
    }

    /** Whether the server has neither taken nor sent anything for too long; called now and then while it streams. */
    boolean isStalled(long nowUs) {
        boolean serverBlocks;
        if (responseSource == null) {
            long forwardedBytes = streamedBody().forwardedBytes();
            serverBlocks = streamedBody().awaitsServer() && forwardedBytes == checkedForwardedBytes;
            checkedForwardedBytes = forwardedBytes;
        } else {
            serverBlocks = !responsePaused;
            checkedForwardedBytes = 0;
        }
        movedAtUs = serverBlocks ? movedAtUs : nowUs;
        return nowUs - movedAtUs > STREAM_STALL_TIMEOUT_US;
    }

    // ---------------------------------------------------------------- its end

    /** Ends it as its time is up. What was not written in full is known not to have run. */
    void expire() {
        boolean mayHaveRun = services.pool().abort(serverId, this);
        onEnded(mayHaveRun ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, NO_BODY);
    }

    /** Cancels it, unless it has ended. */
    void cancel() {
        if (!ended) {
            services.pool().abort(serverId, this);
            onEnded(AttemptResult.CANCELLED, NO_BODY);
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
