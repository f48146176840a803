package kitemux.node;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Set;
import kitemux.Balancer.ReportField;

/**
 * What requests and their attempts are carried with, the same for all of a node.
 *
 * @param flowing attempts of which something flows that is too large to be gathered
 */
record Means(
        EventLoop loop,
        Clock clock,
        ServerPool pool,
        Counters counters,
        List<ReportField> reportFields,
        ModuleEvents module,
        Set<AttemptLife> flowing) {}
