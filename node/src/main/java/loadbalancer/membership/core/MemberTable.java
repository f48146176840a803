package loadbalancer.membership.core;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/** The other members, as this process holds them: live ones, suspected ones, and the tombstones of dead and left. */
final class MemberTable {
    /** In the order in which they were first seen, on which random choices rest. */
    private final Map<String, MemberEntry> byName = new LinkedHashMap<>();

    private final Set<MemberEntry> suspected = new LinkedHashSet<>();
    private int liveCount;
    /** The sum of the hashes of live members. */
    private long digest;

    /** What a live member adds to a digest: its name and generation. */
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

    /** The live member of this name, or null. */
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

    /** Holds this from now on; a suspicion of what was held before ends. */
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

    /** Live members and tombstones. */
    int size() {
        return byName.size();
    }

    int liveCount() {
        return liveCount;
    }

    long digest() {
        return digest;
    }

    /** Those under suspicion, in the order in which they came under it. */
    List<MemberEntry> suspected() {
        return List.copyOf(suspected);
    }

    /** The end of the next suspicion timeout. */
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

    /** In the order in which they were first seen. */
    List<Member> liveMembers() {
        return members().filter(member -> member.state().isLive()).toList();
    }

    /** Of the dead and left members the one that has been so for longest, or null. */
    MemberEntry oldestTombstone() {
        return byName.values().stream()
                .filter(entry -> !entry.isLive())
                .min(Comparator.comparingLong(MemberEntry::updatedAtUs))
                .orElse(null);
    }
}
