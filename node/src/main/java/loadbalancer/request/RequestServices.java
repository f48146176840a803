package loadbalancer.request;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import loadbalancer.admin.Metrics;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.policy.LoadReportField;
import loadbalancer.upstream.ServerPool;

/**
 * The components of a node that requests and their attempts use. Used on the event loop only.
 *
 * @param loadReportFields the fields of load reports that are used, in the order of the settings
 * @param events the queue of events to the balancer
 * @param streaming the attempts that stream a request or a response, which are checked for stalls
 */
public record RequestServices(
        EventLoop loop,
        MonotonicWallClock clock,
        ServerPool pool,
        Metrics metrics,
        List<LoadReportField> loadReportFields,
        PolicyEventQueue events,
        Set<UpstreamAttempt> streaming) {}
