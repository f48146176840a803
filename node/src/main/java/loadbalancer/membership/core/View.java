package loadbalancer.membership.core;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What a process holds of the others: who is live, who is suspected until when, who has ended and since when.
 */
final class View {
    private final Map<String, Entry> byName = new LinkedHashMap<>();
    private final Set<Entry> suspected = new LinkedHashSet<>();
    private int live;
    /** The sum over those that are held for live. */
    private long digest;

    /** One of the others. */
    static final class Entry {
        private Member member;
        private Suspicion suspicion;
        private long endedAtUs;

        private Entry(Member member) {
            this.member = member;
        }

        Member member() {
            return member;
        }

        boolean isLive() {
            return member.state().isLive();
        }

        /** Null while it is not suspected. */
        Suspicion suspicion() {
            return suspicion;
        }

        /** When it was heard that it had ended. */
        long endedAtUs() {
            return endedAtUs;
        }
    }

    static long hash(Member member) {
        long h = member.name().hashCode() * 0x9E3779B97F4A7C15L
                + member.incarnation().birth();
        h = (h ^ h >>> 32) * 0xD6E8FEB86659FD93L;
        return h ^ h >>> 29;
    }

    private void count(Member member, int sign) {
        if (member.state().isLive()) {
            live += sign;
            digest += sign * hash(member);
        }
    }

    Entry get(String name) {
        return byName.get(name);
    }

    /** A member that is live by name, or null. */
    Member live(String name) {
        Entry entry = byName.get(name);
        return entry == null || !entry.isLive() ? null : entry.member;
    }

    Entry add(Member member, long nowUs) {
        Entry added = new Entry(member);
        added.endedAtUs = nowUs;
        byName.put(member.name(), added);
        count(member, 1);
        return added;
    }

    /** It has time to contradict. */
    void suspect(Entry entry, Suspicion by) {
        entry.suspicion = by;
        suspected.add(entry);
    }

    /** It is held for this from now on; what was suspected of it is settled. */
    void set(Entry entry, Member member, long nowUs) {
        count(entry.member, -1);
        entry.member = member;
        entry.suspicion = null;
        suspected.remove(entry);
        entry.endedAtUs = nowUs;
        count(member, 1);
    }

    void drop(Entry entry) {
        count(entry.member, -1);
        byName.remove(entry.member.name());
        suspected.remove(entry);
    }

    int size() {
        return byName.size();
    }

    int live() {
        return live;
    }

    long digest() {
        return digest;
    }

    /** Those that have to contradict, in the order in which they came to. */
    List<Entry> suspected() {
        return List.copyOf(suspected);
    }

    Collection<Entry> all() {
        return byName.values();
    }

    Stream<Member> members() {
        return byName.values().stream().map(Entry::member);
    }

    /** In the order in which they were heard of first. */
    List<Member> liveOnes() {
        return members().filter(member -> member.state().isLive()).toList();
    }

    /** Of those that have ended the one that did so first, or null. */
    Entry firstEnded() {
        return byName.values().stream()
                .filter(entry -> !entry.isLive())
                .min(Comparator.comparingLong(Entry::endedAtUs))
                .orElse(null);
    }

    /** When the next suspicion is over. */
    long nextSuspicionUs() {
        long next = Long.MAX_VALUE;
        for (Entry entry : suspected) {
            next = Math.min(next, entry.suspicion.endsUs());
        }
        return next;
    }
}
