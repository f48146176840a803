package loadbalancer.membership;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import loadbalancer.membership.BadFrameException.Reason;
import loadbalancer.membership.core.MembershipChange;

/** What a process has counted of its membership since its start. On the driver's loop. */
final class MembershipMetrics {
    /** Round trips are counted by powers of two microseconds; the last place takes all that took longer. */
    private static final int BUCKETS = 32;

    private long sent;
    private long sentBytes;
    private long received;
    private long receivedBytes;
    private long exchanges;
    private long exchangesFailed;
    private final long[] bad = new long[Reason.values().length];
    private final long[] changes = new long[MembershipChange.Type.values().length];
    private final long[] roundTrips = new long[BUCKETS];

    void sent(int bytes) {
        sent++;
        sentBytes += bytes;
    }

    void received(int bytes) {
        received++;
        receivedBytes += bytes;
    }

    void exchanged(boolean whole) {
        exchanges += whole ? 1 : 0;
        exchangesFailed += whole ? 0 : 1;
    }

    /** @return how often now */
    long bad(Reason reason) {
        return ++bad[reason.ordinal()];
    }

    void changed(MembershipChange.Type kind) {
        changes[kind.ordinal()]++;
    }

    void roundTrip(long us) {
        roundTrips[Math.min(BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(us))]++;
    }

    /** The least power of two microseconds that this share of round trips did not exceed; 0 without any. */
    private long roundTripUs(double share) {
        long all = 0;
        for (long count : roundTrips) {
            all += count;
        }
        long seen = 0;
        for (int i = 0; all > 0 && i < BUCKETS; i++) {
            seen += roundTrips[i];
            if (seen >= share * all) {
                return 1L << i;
            }
        }
        return 0;
    }

    /** By name, in an order that stays. */
    Map<String, Long> all() {
        Map<String, Long> all = new LinkedHashMap<>();
        all.put("datagrams_sent", sent);
        all.put("datagram_bytes_sent", sentBytes);
        all.put("datagrams_received", received);
        all.put("datagram_bytes_received", receivedBytes);
        all.put("exchanges", exchanges);
        all.put("exchanges_failed", exchangesFailed);
        for (Reason reason : Reason.values()) {
            all.put("dropped_" + lower(reason), bad[reason.ordinal()]);
        }
        for (MembershipChange.Type type : MembershipChange.Type.values()) {
            all.put("changes_" + metricName(type), changes[type.ordinal()]);
        }
        all.put("round_trip_p50_us", roundTripUs(0.5));
        all.put("round_trip_p99_us", roundTripUs(0.99));
        return all;
    }

    /** The name on dashboards, which stays where the code's changes. */
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

    private static String lower(Enum<?> name) {
        return name.name().toLowerCase(Locale.ROOT);
    }
}
