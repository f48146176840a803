package loadbalancer.request;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import loadbalancer.admin.Metrics;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.policy.LoadReportField;
import loadbalancer.upstream.ServerPool;

/**
 * What requests and their attempts are carried out with, the same for all of a node. Used on the event loop only.
 *
 * @param loadReportFields what servers report of their load, in the order of the settings
 * @param events the way to the balancer
 * @param streaming the attempts with a streamed request or response, which are checked for stalls
 */
public record RequestServices(
        EventLoop loop,
        MonotonicWallClock clock,
        ServerPool pool,
        Metrics metrics,
        List<LoadReportField> loadReportFields,
        PolicyEventQueue events,
        Set<UpstreamAttempt> streaming) {}
