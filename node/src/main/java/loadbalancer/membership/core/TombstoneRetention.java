package loadbalancer.membership.core;

import java.util.List;

/**
 * Keeps the tombstones of dead and left members for the configured retention, counted from the last change of the
 * record in this process. Guards against a late update that brings such a member back, which shows as a member that
 * joins again after it has left: the tombstone supersedes the update. A tombstone is dropped earlier if the member
 * table is full and a new live member needs its place.
 */
final class TombstoneRetention {
    private final MembershipSettings settings;
    private final MemberTable table;
    private final BroadcastQueue broadcasts;
    private final ChangeNotifier notifier;
    private long nextExpiryAtUs = Long.MAX_VALUE;

    TombstoneRetention(
            MembershipSettings settings, MemberTable table, BroadcastQueue broadcasts, ChangeNotifier notifier) {
        this.settings = settings;
        this.table = table;
        this.broadcasts = broadcasts;
        this.notifier = notifier;
    }

    /** Schedules the expiry of a tombstone that has just been recorded. */
    void onTombstone(long nowUs) {
        nextExpiryAtUs = Math.min(nextExpiryAtUs, nowUs + settings.tombstoneRetentionUs());
    }

    long nextUs() {
        return nextExpiryAtUs;
    }

    void onTime(long nowUs) {
        if (nowUs < nextExpiryAtUs) {
            return;
        }
        nextExpiryAtUs = Long.MAX_VALUE;
        for (MemberEntry entry : List.copyOf(table.entries())) {
            if (!entry.isLive()) {
                expire(nowUs, entry);
            }
        }
    }

    private void expire(long nowUs, MemberEntry tombstone) {
        long expiryAtUs = tombstone.updatedAtUs() + settings.tombstoneRetentionUs();
        if (expiryAtUs <= nowUs) {
            forget(tombstone);
        } else {
            nextExpiryAtUs = Math.min(nextExpiryAtUs, expiryAtUs);
        }
    }

    /** Drops the oldest tombstone to admit a new member. Returns false if there are no tombstones. */
    boolean evictOldest() {
        MemberEntry oldest = table.oldestTombstone();
        if (oldest == null) {
            return false;
        }
        forget(oldest);
        return true;
    }

    private void forget(MemberEntry tombstone) {
        table.remove(tombstone);
        broadcasts.remove(tombstone.member().name());
        notifier.notify(MembershipChange.Type.FORGOTTEN, tombstone.member());
    }
}
