package loadbalancer.process;

import java.util.function.Supplier;
import loadbalancer.admin.Metrics;
import loadbalancer.admin.MetricsRenderer;
import loadbalancer.admin.NodeOperations;
import loadbalancer.admin.RejectedCallException;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;

/**
 * Handles the operators' calls that arrive at the control address.
 *
 * <p>All methods run on the event loop, except {@link #setExtraMetrics}, which is called before the node starts.
 */
final class ControlCalls implements NodeOperations {
    private final RequestServices services;
    private final RequestTable requests;
    private final ServerListUpdater serverList;
    private boolean ready;
    /** Supplies further lines of metrics; null if there are none. */
    private Supplier<String> extraMetrics;

    ControlCalls(RequestServices services, RequestTable requests, ServerListUpdater serverList) {
        this.services = services;
        this.requests = requests;
        this.serverList = serverList;
    }

    /** Sets whether the node is ready for clients: false until it listens, and false again from SIGTERM on. */
    void setReady(boolean ready) {
        this.ready = ready;
    }

    /** Appends these lines to the node's metrics. Must be called before the node starts. */
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
