package loadbalancer.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.membership.codec.BadFrameException.Reason;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipProtocol;

/**
 * Metrics of membership since the start of the process. Used only on the event loop. Names of metrics must not change
 * when identifiers in the code do, because dashboards read them.
 */
final class MembershipMetrics {
    private static final String PREFIX = "members_";
    /** Number of buckets for round trips, by powers of two microseconds. The last one also counts all longer ones. */
    private static final int BUCKETS = 32;

    private long datagramsSent;
    private long datagramBytesSent;
    private long datagramsReceived;
    private long datagramBytesReceived;
    private long stateSyncsCompleted;
    private long stateSyncsFailed;
    private final long[] badFrames = new long[Reason.values().length];
    private final long[] changes = new long[MembershipChange.Type.values().length];
    private final long[] roundTrips = new long[BUCKETS];

    void onDatagramSent(int bytes) {
        datagramsSent++;
        datagramBytesSent += bytes;
    }

    void onDatagramReceived(int bytes) {
        datagramsReceived++;
        datagramBytesReceived += bytes;
    }

    void onStateSyncEnd(boolean complete) {
        if (complete) {
            stateSyncsCompleted++;
        } else {
            stateSyncsFailed++;
        }
    }

    /** Counts a bad frame and returns the number of bad frames for this reason so far. */
    long onBadFrame(Reason reason) {
        return ++badFrames[reason.ordinal()];
    }

    void onChange(MembershipChange.Type type) {
        changes[type.ordinal()]++;
    }

    void onRoundTrip(long roundTripUs) {
        roundTrips[Math.min(BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(roundTripUs))]++;
    }

    /** Smallest power of two, in microseconds, that the given share of round trips is below; 0 without round trips. */
    private long roundTripUs(double share) {
        long total = 0;
        for (long count : roundTrips) {
            total += count;
        }
        long counted = 0;
        for (int bucket = 0; total > 0 && bucket < BUCKETS; bucket++) {
            counted += roundTrips[bucket];
            if (counted >= share * total) {
                return 1L << bucket;
            }
        }
        return 0;
    }

    /** All counters by name, in a stable order. */
    Map<String, Long> counters() {
        Map<String, Long> counters = new LinkedHashMap<>();
        counters.put("datagrams_sent", datagramsSent);
        counters.put("datagram_bytes_sent", datagramBytesSent);
        counters.put("datagrams_received", datagramsReceived);
        counters.put("datagram_bytes_received", datagramBytesReceived);
        counters.put("exchanges", stateSyncsCompleted);
        counters.put("exchanges_failed", stateSyncsFailed);
        for (Reason reason : Reason.values()) {
            counters.put("dropped_" + metricName(reason), badFrames[reason.ordinal()]);
        }
        for (MembershipChange.Type type : MembershipChange.Type.values()) {
            counters.put("changes_" + metricName(type), changes[type.ordinal()]);
        }
        counters.put("round_trip_p50_us", roundTripUs(0.5));
        counters.put("round_trip_p99_us", roundTripUs(0.99));
        return counters;
    }

    /** State and counters as reported at the control address, one per line. */
    String report(MembershipProtocol protocol) {
        StringBuilder lines = new StringBuilder();
        append(lines, "live", protocol.liveCount());
        append(lines, "view_version", protocol.version());
        append(lines, "health", protocol.localHealth());
        counters().forEach((name, value) -> append(lines, name, value));
        return lines.toString();
    }

    private static void append(StringBuilder lines, String name, long value) {
        lines.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static String metricName(MembershipChange.Type type) {
        return switch (type) {
            case JOINED -> "joined";
            case UPDATED -> "updated";
            case SUSPECTED -> "suspected";
            case REFUTED -> "cleared";
            case FAILED -> "died";
            case LEFT -> "left";
            case FORGOTTEN -> "forgotten";
            case NAME_YIELDED -> "gave_way";
            case NAME_TAKEN_OVER -> "taken_over";
            case REJECTED -> "turned_away";
        };
    }

    static String metricName(Reason reason) {
        return switch (reason) {
            case BAD_MAGIC -> "not_ours";
            case CHECKSUM_MISMATCH -> "damaged";
            case UNSUPPORTED_VERSION -> "newer";
            case FOREIGN_FLEET -> "foreign_fleet";
            case MALFORMED -> "malformed";
        };
    }
}
