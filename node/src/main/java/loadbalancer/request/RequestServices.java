package loadbalancer.request;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import loadbalancer.admin.Metrics;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.policy.LoadReportField;
import loadbalancer.upstream.ServerPool;

/**
 * What requests and their attempts are carried with, the same for all of a node.
 *
 * @param streaming attempts of which something flows that is too large to be gathered
 */
public record RequestServices(
        EventLoop loop,
        MonotonicWallClock clock,
        ServerPool pool,
        Metrics metrics,
        List<LoadReportField> loadReportFields,
        PolicyEventQueue events,
        Set<UpstreamAttempt> streaming) {}
