package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Queue of gossip updates to disseminate. Keeps only the newest update of each name, sends each a bounded number of
 * times, and sends the least often sent updates first.
 */
final class BroadcastQueue {
    private final Map<String, Broadcast> byName = new HashMap<>();
    /** By number of transmissions, fewest first, then newest first. */
    private final TreeSet<Broadcast> bySendOrder =
            new TreeSet<>(Comparator.comparingInt((Broadcast broadcast) -> broadcast.transmissions)
                    .thenComparing(broadcast -> broadcast.number, Comparator.reverseOrder()));

    private long nextNumber;

    private static final class Broadcast {
        private final GossipUpdate update;
        private final long number;
        private int transmissions;

        Broadcast(GossipUpdate update, long number) {
            this.update = update;
            this.number = number;
        }

        String name() {
            return update.member().name();
        }
    }

    /** Adds an update, which replaces a queued update of the same name. */
    void add(GossipUpdate update) {
        String name = update.member().name();
        remove(name);
        Broadcast broadcast = new Broadcast(update, nextNumber++);
        byName.put(name, broadcast);
        bySendOrder.add(broadcast);
    }

    void remove(String name) {
        Broadcast removed = byName.remove(name);
        if (removed != null) {
            bySendOrder.remove(removed);
        }
    }

    boolean isEmpty() {
        return byName.isEmpty();
    }

    /**
     * Returns the next updates that fit into a budget, and drops those that reach the given number of transmissions.
     * Stops at the first update that does not fit.
     */
    List<GossipUpdate> take(int budgetBytes, int maxTransmissions) {
        List<Broadcast> taken = new ArrayList<>();
        int remainingBytes = budgetBytes;
        // Removes the updates first and adds them back below, so that no update is taken twice for one message.
        while (!bySendOrder.isEmpty() && bySendOrder.first().update.maxEncodedBytes() <= remainingBytes) {
            Broadcast broadcast = bySendOrder.pollFirst();
            remainingBytes -= broadcast.update.maxEncodedBytes();
            taken.add(broadcast);
        }
        List<GossipUpdate> updates = new ArrayList<>(taken.size());
        for (Broadcast broadcast : taken) {
            updates.add(broadcast.update);
            broadcast.transmissions++;
            if (broadcast.transmissions < maxTransmissions) {
                bySendOrder.add(broadcast);
            } else {
                byName.remove(broadcast.name());
            }
        }
        return updates;
    }
}
