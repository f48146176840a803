package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.membership.codec.BadFrameException.Reason;
import loadbalancer.membership.core.MembershipChange;
import org.junit.jupiter.api.Test;

/** Names of metrics, which dashboards and the command {@code fleet members} read. */
class MembershipMetricsTest {

    /** Counts each reason and type a different number of times, to detect two metrics that are swapped. */
    @Test
    void eachNameReportsItsOwnCount() {
        MembershipMetrics metrics = new MembershipMetrics();
        metrics.onDatagramSent(100);
        metrics.onDatagramSent(20);
        metrics.onDatagramReceived(7);
        metrics.onStateSyncEnd(true);
        metrics.onStateSyncEnd(true);
        metrics.onStateSyncEnd(true);
        metrics.onStateSyncEnd(false);
        for (Reason reason : Reason.values()) {
            for (int i = 0; i <= reason.ordinal(); i++) {
                metrics.onBadFrame(reason);
            }
        }
        for (MembershipChange.Type type : MembershipChange.Type.values()) {
            for (int i = 0; i <= type.ordinal(); i++) {
                metrics.onChange(type);
            }
        }
        metrics.onRoundTrip(100);
        metrics.onRoundTrip(100);
        metrics.onRoundTrip(5_000);
        assertEquals(
                "{datagrams_sent=2, datagram_bytes_sent=120, datagrams_received=1, datagram_bytes_received=7,"
                        + " exchanges=3, exchanges_failed=1, dropped_not_ours=1, dropped_damaged=2, dropped_newer=3,"
                        + " dropped_foreign_fleet=4, dropped_malformed=5, changes_joined=1, changes_updated=2,"
                        + " changes_suspected=3, changes_cleared=4, changes_died=5, changes_left=6,"
                        + " changes_forgotten=7, changes_gave_way=8, changes_taken_over=9, changes_turned_away=10,"
                        + " round_trip_p50_us=128, round_trip_p99_us=8192}",
                metrics.counters().toString());
    }
}
