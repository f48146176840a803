package loadbalancer.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.upstream.LoadReportDecoder;
import loadbalancer.upstream.UpstreamExchange;

/** A check of one server. */
public final class HealthCheck implements UpstreamExchange {
    private static final byte[] NO_BODY = {};
    private static final long MOST_US = 1_000_000;

    private final String serverId;
    private final RequestServices services;
    private final long sentAtUs;
    private Future<?> expiry;
    private LoadReport report;

    /** A probe of this server. */
    public HealthCheck(String serverId, RequestServices services) {
        this.serverId = serverId;
        this.services = services;
        sentAtUs = services.clock().nowUs();
    }

    /** Sends the probe. */
    public void start() {
        expiry = services.loop()
                .schedule(
                        () -> {
                            services.pool().giveUp(serverId, this);
                            ended(AttemptResult.TIMEOUT, NO_BODY);
                        },
                        MOST_US,
                        TimeUnit.MICROSECONDS);
        services.pool().start(serverId, this);
    }

    @Override
    public boolean mayBegin() {
        return true;
    }

    @Override
    public FullHttpRequest message() {
        FullHttpRequest message =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/alive", Unpooled.EMPTY_BUFFER);
        message.headers().set(HttpHeaderNames.HOST, "backend.local");
        return message;
    }

    @Override
    public RequestBody upload() {
        return null;
    }

    @Override
    public void written() {
        // No client's request: it counts for nothing.
    }

    @Override
    public void begun(long length, FlowControl from) {
        // That it answers is all that is asked.
    }

    @Override
    public void part(ByteBuf part) {
        part.release();
    }

    @Override
    public void partsRead() {
        // Nobody to pass them to.
    }

    @Override
    public void reported(String load) {
        report = LoadReportDecoder.decode(load, services.loadReportFields());
    }

    @Override
    public void ended(AttemptResult result, byte[] body) {
        expiry.cancel(false);
        services.events()
                .submit(module -> module.onProbe(
                        services.clock().nowUs(),
                        serverId,
                        result,
                        services.clock().nowUs() - sentAtUs,
                        report));
    }
}
