package loadbalancer.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadReport;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.upstream.LoadReportDecoder;
import loadbalancer.upstream.UpstreamExchange;

/**
 * A health check of one server, whose result is reported to the balancer.
 *
 * <p>Ends once: with the server's response, by the loss of the connection or the lack of one, or after
 * {@link #TIMEOUT_US}. All methods are called on the event loop.
 */
public final class HealthCheck implements UpstreamExchange {
    private static final long TIMEOUT_US = 1_000_000;

    private final String serverId;
    private final RequestServices services;
    private final long sentAtUs;
    private Future<?> timeout;
    private LoadReport loadReport;

    /** Creates a health check of this server. */
    public HealthCheck(String serverId, RequestServices services) {
        this.serverId = serverId;
        this.services = services;
        sentAtUs = services.clock().nowUs();
    }

    /** Starts the timeout and sends the health check. */
    public void start() {
        timeout = services.loop().schedule(this::onTimeout, TIMEOUT_US, TimeUnit.MICROSECONDS);
        services.pool().start(serverId, this);
    }

    private void onTimeout() {
        services.pool().abort(serverId, this);
        onEnded(AttemptResult.TIMEOUT, HttpBodies.EMPTY);
    }

    @Override
    public boolean mayStart() {
        return true;
    }

    @Override
    public boolean postponeStart() {
        return false;
    }

    @Override
    public FullHttpRequest createMessage() {
        return UpstreamMessageFactory.healthCheck();
    }

    @Override
    public RequestBody streamedBody() {
        return null;
    }

    @Override
    public void onRequestWritten() {
        // The metric counts only the attempts of clients' requests.
    }

    @Override
    public void onResponseStarted(long length, FlowControl source) {
        // The body of the response is not used.
    }

    @Override
    public void onResponsePart(ByteBuf part) {
        part.release();
    }

    @Override
    public long maxBufferingUs() {
        return Long.MAX_VALUE;
    }

    @Override
    public void onResponseHead(long length) {
        // Only the end of a health check counts.
    }

    @Override
    public void onResponseBytes(int bytes) {
        // Only the end of a health check counts.
    }

    @Override
    public void onResponseReadComplete() {
        // Nothing to flush, as the parts are not forwarded.
    }

    @Override
    public void onLoadReport(String report) {
        loadReport = LoadReportDecoder.decode(report, services.loadReportFields());
    }

    @Override
    public void onEnded(AttemptResult result, byte[] body) {
        timeout.cancel(false);
        services.events().submit(balancer -> {
            long nowUs = services.clock().nowUs();
            balancer.onProbe(nowUs, serverId, result, services.clock().nowUs() - sentAtUs, loadReport);
        });
    }
}
