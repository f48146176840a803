package loadbalancer.process;

import java.util.function.Supplier;
import loadbalancer.admin.Metrics;
import loadbalancer.admin.MetricsRenderer;
import loadbalancer.admin.NodeOperations;
import loadbalancer.admin.RejectedCallException;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;

/**
 * Answers the calls of operators at the control address.
 *
 * <p>Used on the event loop only, but for {@link #setExtraMetrics}, which is called before the node starts.
 */
final class ControlCalls implements NodeOperations {
    private final RequestServices services;
    private final RequestTable requests;
    private final ServerListUpdater serverList;
    private boolean ready;
    /** Lines of metrics beside the node's own; null where there are none. */
    private Supplier<String> extraMetrics;

    ControlCalls(RequestServices services, RequestTable requests, ServerListUpdater serverList) {
        this.services = services;
        this.requests = requests;
        this.serverList = serverList;
    }

    /** Whether clients can connect; false at the start, and again from SIGTERM on. */
    void setReady(boolean ready) {
        this.ready = ready;
    }

    /** Reports these lines behind the node's own metrics; before the start. */
    void setExtraMetrics(Supplier<String> lines) {
        extraMetrics = lines;
    }

    @Override
    public boolean isServing() {
        return ready;
    }

    @Override
    public String metrics() {
        Metrics.Gauges gauges = new Metrics.Gauges(
                requests.pendingCount(),
                services.pool().serverCount(),
                services.events().excludedServers());
        return MetricsRenderer.render(services.metrics(), gauges) + (extraMetrics == null ? "" : extraMetrics.get());
    }

    @Override
    public long setCordoned(String serverId, boolean cordoned) throws RejectedCallException {
        return serverList.setCordoned(serverId, cordoned);
    }
}
