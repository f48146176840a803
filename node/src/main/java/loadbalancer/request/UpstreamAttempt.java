package loadbalancer.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.ClientConnection;
import loadbalancer.client.ClientRequest;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.transfer.TransferLimits;
import loadbalancer.upstream.LoadReportDecoder;
import loadbalancer.upstream.UpstreamExchange;

/** One attempt of a request at one server, gathered or flowing. */
final class UpstreamAttempt implements UpstreamExchange, FlowControl {
    private static final byte[] NO_BODY = {};
    /** A server that neither takes nor gives anything for so long, amid something that flows, is gone. */
    private static final long MOST_SILENCE_US = 10_000_000;
    /**
     * The same for an answer of no told length once its time is up, as long as it may be one whose last byte
     * is owed by then: a client takes an answer for lost that comes half a second after its time.
     */
    private static final long MOST_LATE_SILENCE_US = 400_000;

    private final ProxiedRequest of;
    private final int number;
    private final String serverId;
    private final RequestServices services;
    private final long sentAtUs;
    private final long beginByUs;
    private final long untilUs;
    /** From when the server could work on it, and when it began to answer; 0 until then. */
    private long wholeAtUs;

    private long begunAtUs;
    /** When last something of it went on. */
    private long movedAtUs;

    private long passed;
    private FlowControl answer;
    /** How much of the answer has come. */
    private long given;

    private boolean heldBack;
    private Future<?> expiry;
    private LoadReport report;
    private boolean over;

    UpstreamAttempt(
            ProxiedRequest of, int number, String serverId, long beginByUs, long untilUs, RequestServices services) {
        this.of = of;
        this.number = number;
        this.serverId = serverId;
        this.beginByUs = beginByUs;
        this.untilUs = untilUs;
        this.services = services;
        sentAtUs = services.clock().nowUs();
        wholeAtUs = sentAtUs;
        movedAtUs = sentAtUs;
    }

    int number() {
        return number;
    }

    boolean isOver() {
        return over;
    }

    private long endsUs() {
        return Math.min(untilUs, of.deadlineUs());
    }

    @Override
    public boolean mayBegin() {
        return services.clock().nowUs() <= beginByUs;
    }

    @Override
    public FullHttpRequest message() {
        of.carriedBy(this);
        ClientRequest.Head head = of.request.head();
        byte[] body = of.request.body();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, head.method(), head.uri(), Unpooled.wrappedBuffer(body));
        long remainingUs = of.isWhole() ? endsUs() - services.clock().nowUs() : head.remainingUs();
        message.headers()
                .set(HttpHeaderNames.HOST, "backend.local")
                .set("X-Txn", head.txn())
                .set("X-Lane", of.className())
                .set("X-Remaining", Math.max(1, remainingUs) + "u");
        if (head.idempotencyKey() != null) {
            message.headers().set("Idempotency-Key", head.idempotencyKey());
        }
        if (upload() != null && upload().length() < 0) {
            HttpUtil.setTransferEncodingChunked(message, true);
        } else if (upload() != null) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, upload().length());
        } else if (body.length > 0 || !head.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return message;
    }

    @Override
    public RequestBody upload() {
        return of.request.upload();
    }

    @Override
    public void written() {
        services.metrics().onAttemptWritten();
    }

    void begin() {
        if (over) {
            return;
        }
        if (endsUs() <= sentAtUs || !of.admits(number)) {
            ended(AttemptResult.MOOT, NO_BODY);
            return;
        }
        if (of.isWhole()) {
            awaitEnd();
        }
        if (upload() != null) {
            services.streaming().add(this);
        }
        services.pool().start(serverId, this);
    }

    /** All of the request has come: its time runs. */
    void cameWhole() {
        wholeAtUs = services.clock().nowUs();
        awaitEnd();
    }

    private void awaitEnd() {
        if (expiry != null) {
            expiry.cancel(false);
        }
        expireAt(endsUs(), this::expire);
    }

    private void expireAt(long atUs, Runnable expiring) {
        expiry = services.loop().schedule(expiring, atUs - services.clock().nowUs(), TimeUnit.MICROSECONDS);
    }

    private void expireIfSilent() {
        if (given > TransferLimits.MAX_BUFFERED_BYTES) {
            // One whose first bytes were owed in time, and its rest for as long as the server gives it.
            return;
        }
        long nowUs = services.clock().nowUs();
        if (!heldBack && nowUs - movedAtUs >= MOST_LATE_SILENCE_US) {
            expire();
        } else {
            expireAt((heldBack ? nowUs : movedAtUs) + MOST_LATE_SILENCE_US, this::expireIfSilent);
        }
    }

    /** Whether the server has neither taken nor given anything for too long. */
    boolean isStalled(long nowUs) {
        boolean onServer = answer == null ? upload().awaitsServer() && upload().passed() == passed : !heldBack;
        passed = answer == null ? upload().passed() : 0;
        movedAtUs = onServer ? movedAtUs : nowUs;
        return nowUs - movedAtUs > MOST_SILENCE_US;
    }

    @Override
    public void begun(long length, FlowControl from) {
        answer = from;
        begunAtUs = services.clock().nowUs();
        services.streaming().add(this);
        if (expiry != null) {
            expiry.cancel(false);
            if (length < 0) {
                expireAt(endsUs() + MOST_LATE_SILENCE_US, this::expireIfSilent);
            }
        }
        if (of.beginAnswer(length, this)) {
            services.events()
                    .submit(of, module -> module.onFirstByte(services.clock().nowUs(), of.id, number));
        }
    }

    @Override
    public void part(ByteBuf part) {
        movedAtUs = services.clock().nowUs();
        given += part.readableBytes();
        ClientConnection client = of.takes(this);
        if (client != null) {
            client.writeResponsePart(part);
        } else {
            part.release();
        }
    }

    @Override
    public void partsRead() {
        ClientConnection client = of.takes(this);
        if (client != null) {
            client.flushResponse();
        }
    }

    @Override
    public void pauseReading() {
        heldBack = true;
        answer.pauseReading();
    }

    @Override
    public void resumeReading() {
        heldBack = false;
        movedAtUs = services.clock().nowUs();
        answer.resumeReading();
    }

    /** Its time is up. */
    void expire() {
        // What never left for want of a connection is known not to have run.
        ended(services.pool().giveUp(serverId, this) ? AttemptResult.TIMEOUT : AttemptResult.CONNECT_FAILED, NO_BODY);
    }

    void cancel() {
        if (!over) {
            services.pool().giveUp(serverId, this);
            ended(AttemptResult.CANCELLED, NO_BODY);
        }
    }

    @Override
    public void reported(String load) {
        report = LoadReportDecoder.decode(load, services.loadReportFields());
    }

    @Override
    public void ended(AttemptResult result, byte[] body) {
        if (over) {
            return;
        }
        over = true;
        services.streaming().remove(this);
        if (expiry != null) {
            expiry.cancel(false);
        }
        of.attemptEnded(this, result, body);
        // Of what flowed it counts how long the server took, not how long the two ends did.
        long answeredAtUs = begunAtUs == 0 ? services.clock().nowUs() : begunAtUs;
        services.events().submit(of, module -> {
            of.attemptTold();
            module.onOutcome(
                    services.clock().nowUs(),
                    new AttemptOutcome(
                            of.id, number, result, Math.max(0, answeredAtUs - wholeAtUs), of.isEnded(), report));
        });
    }
}
