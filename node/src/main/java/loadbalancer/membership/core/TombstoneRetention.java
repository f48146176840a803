package loadbalancer.membership.core;

import java.util.List;

/**
 * Remembers dead and left members for a while. Guards against a late update that brings one back, which shows as a
 * member that joins again after it has left: its tombstone supersedes the update.
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

    /** A member is dead or has left from now on. */
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

    /** Makes a place for a new member; false where all places are taken by live ones. */
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
