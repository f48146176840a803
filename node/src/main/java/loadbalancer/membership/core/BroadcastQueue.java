package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * What is still to be passed on: of each name the newest only, each a bounded number of times, the freshest
 * first.
 */
final class BroadcastQueue {
    /** A member in a datagram beside its texts: numbers, lengths and the state. */
    private static final int OVERHEAD = 48;

    private final Map<String, Queued> byName = new HashMap<>();
    /** The least often sent first, of these the newest. */
    private final TreeSet<Queued> inTurn = new TreeSet<>(Comparator.comparingInt((Queued queued) -> queued.sent)
            .thenComparing(queued -> queued.number, Comparator.reverseOrder()));

    private long added;

    private static final class Queued {
        private final GossipUpdate rumor;
        private final long number;
        private int sent;

        Queued(GossipUpdate rumor, long number) {
            this.rumor = rumor;
            this.number = number;
        }
    }

    /** Passes this on from now on, and nothing older of that name. */
    void add(GossipUpdate rumor) {
        forget(rumor.member().name());
        Queued queued = new Queued(rumor, added++);
        byName.put(rumor.member().name(), queued);
        inTurn.add(queued);
    }

    void forget(String name) {
        Queued before = byName.remove(name);
        if (before != null) {
            inTurn.remove(before);
        }
    }

    int size() {
        return byName.size();
    }

    /** What fits into so many bytes; each that has been taken so often goes. */
    List<GossipUpdate> take(int room, int times) {
        List<GossipUpdate> taken = new ArrayList<>();
        List<Queued> again = new ArrayList<>();
        int left = room;
        while (!inTurn.isEmpty() && size(inTurn.first().rumor) <= left) {
            Queued queued = inTurn.pollFirst();
            left -= size(queued.rumor);
            taken.add(queued.rumor);
            queued.sent++;
            again.add(queued);
        }
        for (Queued queued : again) {
            if (queued.sent < times) {
                inTurn.add(queued);
            } else {
                byName.remove(queued.rumor.member().name());
            }
        }
        return taken;
    }

    /** At least as many bytes as a codec needs. */
    static int size(GossipUpdate rumor) {
        Member m = rumor.member();
        return OVERHEAD
                + m.name().length()
                + m.address().length()
                + m.zone().length()
                + m.role().length()
                + rumor.by().length();
    }
}
