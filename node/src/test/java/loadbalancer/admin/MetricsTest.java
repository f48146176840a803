package loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.common.ConnectionEvent;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import org.junit.jupiter.api.Test;

/** The rendered text of all metrics, byte for byte. */
class MetricsTest {
    private static RequestClass requestClass(String name) {
        return new RequestClass(
                name, 100_000, 0, 500_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
    }

    @Test
    void eachMetricIsRenderedAsOneLine() {
        Metrics metrics = new Metrics();
        metrics.register(List.of(requestClass("page"), requestClass("a\"b\\c\nd")));
        metrics.onRequestFinished("page", RequestOutcome.SERVED);
        metrics.onRequestFinished("page", RequestOutcome.SERVED);
        metrics.onRequestFinished("page", RequestOutcome.REJECTED);
        metrics.onRequestFinished("a\"b\\c\nd", RequestOutcome.FAILED);
        metrics.onAttemptWritten();
        metrics.onUnconfirmedAttempt();
        metrics.onConfigLoaded();
        metrics.onConfigLoaded();
        metrics.onConfigRejected();
        metrics.connections().increment(ConnectionEvent.TIMED_OUT);
        metrics.connections().increment(ConnectionEvent.TIMED_OUT);
        // A class keeps its counts when the configuration is reloaded.
        metrics.register(List.of(requestClass("page"), requestClass("new")));
        assertEquals("""
                node_handled{category="page",outcome="passed"} 2
                node_handled{category="page",outcome="dropped"} 1
                node_handled{category="page",outcome="bad_gateway"} 0
                node_handled{category="a\\"b\\\\c\\nd",outcome="passed"} 0
                node_handled{category="a\\"b\\\\c\\nd",outcome="dropped"} 0
                node_handled{category="a\\"b\\\\c\\nd",outcome="bad_gateway"} 1
                node_handled{category="new",outcome="passed"} 0
                node_handled{category="new",outcome="dropped"} 0
                node_handled{category="new",outcome="bad_gateway"} 0
                node_upstream_tries 1
                node_unconfirmed_tries 1
                node_in_progress 7
                node_known_app_servers 5
                node_skipped_app_servers 3
                node_loads 2
                node_load_errors 1
                node_connections{event="evicted"} 0
                node_connections{event="timed_out"} 2
                node_connections{event="shut_down"} 0
                node_connections{event="accept_paused"} 0
                node_connections{event="accept_failed"} 0
                node_transfers{event="response_abandoned"} 0
                node_transfers{event="response_cut"} 0
                node_transfers{event="response_extended"} 0
                node_transfers{event="upload_expired"} 0
                """, MetricsRenderer.render(metrics, new Metrics.Gauges(7, 5, 3)));
    }
}
