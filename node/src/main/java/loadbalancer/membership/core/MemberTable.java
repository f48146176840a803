package loadbalancer.membership.core;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** Records of all other members: live members, including suspected ones, and tombstones of dead and left members. */
final class MemberTable {
    /** In insertion order: random choices index into it and must be the same for the same seed. */
    private final Map<String, MemberEntry> byName = new LinkedHashMap<>();

    private final Set<MemberEntry> suspected = new LinkedHashSet<>();
    private int liveCount;
    /** The sum of the hashes of live members. */
    private long digest;

    /** Contribution of a live member to a digest: a hash of its name and generation. */
    static long hash(Member member) {
        long hash = member.name().hashCode() * 0x9E3779B97F4A7C15L
                + member.incarnation().generation();
        hash = (hash ^ hash >>> 32) * 0xD6E8FEB86659FD93L;
        return hash ^ hash >>> 29;
    }

    private void count(Member member, int sign) {
        if (member.state().isLive()) {
            liveCount += sign;
            digest += sign * hash(member);
        }
    }

    MemberEntry get(String name) {
        return byName.get(name);
    }

    /** Returns the live member of this name, or null. */
    Member live(String name) {
        MemberEntry entry = byName.get(name);
        return entry == null || !entry.isLive() ? null : entry.member();
    }

    MemberEntry add(Member member, long nowUs) {
        MemberEntry added = new MemberEntry(member, nowUs);
        byName.put(member.name(), added);
        count(member, 1);
        return added;
    }

    /** Replaces the record of a member and ends a suspicion of the previous record. */
    void update(MemberEntry entry, Member member, long nowUs) {
        count(entry.member(), -1);
        entry.update(member, nowUs);
        suspected.remove(entry);
        count(member, 1);
    }

    void suspect(MemberEntry entry, Suspicion suspicion) {
        entry.suspect(suspicion);
        suspected.add(entry);
    }

    void remove(MemberEntry entry) {
        count(entry.member(), -1);
        byName.remove(entry.member().name());
        suspected.remove(entry);
    }

    /** Number of records, live members and tombstones. */
    int size() {
        return byName.size();
    }

    int liveCount() {
        return liveCount;
    }

    long digest() {
        return digest;
    }

    /** Copy of the suspected entries, in the order in which their suspicions started. */
    List<MemberEntry> suspected() {
        return List.copyOf(suspected);
    }

    /** Earliest end of a suspicion timeout, or Long.MAX_VALUE without suspicions. */
    long nextSuspicionEndUs() {
        long next = Long.MAX_VALUE;
        for (MemberEntry entry : suspected) {
            next = Math.min(next, entry.suspicion().endsAtUs());
        }
        return next;
    }

    Collection<MemberEntry> entries() {
        return byName.values();
    }

    Stream<Member> members() {
        return byName.values().stream().map(MemberEntry::member);
    }

    /** Live members in insertion order. */
    List<Member> liveMembers() {
        return members().filter(member -> member.state().isLive()).toList();
    }

    /** The tombstone whose record changed least recently, or null if there are no tombstones. */
    MemberEntry oldestTombstone() {
        return byName.values().stream()
                .filter(entry -> !entry.isLive())
                .min(Comparator.comparingLong(MemberEntry::updatedAtUs))
                .orElse(null);
    }
}
