package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Disseminates gossip updates: piggybacked on every message that is sent, and in gossip messages to random members for
 * as long as there are new ones.
 */
final class Gossiper {
    /** A leave is announced to this times log2 of the members at once. */
    private static final int LEAVE_FACTOR = 3;
    /**
     * Gossip messages go out so often in a probe period, beside what is piggybacked: members whose local health is bad
     * ping slowly, which would hold up all updates while many fail.
     */
    private static final int ROUNDS_PER_PERIOD = 4;

    private final MembershipSettings settings;
    private final MembershipActions actions;
    private final ProtocolRandom random;
    private final MemberTable table;
    private final BroadcastQueue broadcasts;
    private final LocalMember local;
    private long nextRoundAtUs = Long.MAX_VALUE;

    Gossiper(
            MembershipSettings settings,
            MembershipActions actions,
            ProtocolRandom random,
            MemberTable table,
            BroadcastQueue broadcasts,
            LocalMember local) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.table = table;
        this.broadcasts = broadcasts;
        this.local = local;
    }

    /** Sends a message with as many updates as fit. */
    void send(String address, MembershipMessage message) {
        send(address, message, claimAboutTarget(message));
    }

    /** The same, with these updates before all others. */
    void send(String address, MembershipMessage message, List<GossipUpdate> first) {
        int firstBytes = first.stream().mapToInt(GossipUpdate::maxEncodedBytes).sum();
        List<GossipUpdate> updates = new ArrayList<>(first);
        updates.addAll(broadcasts.take(settings.gossipBudgetBytes() - firstBytes, maxTransmissions()));
        actions.send(address, message.withUpdates(updates));
    }

    /**
     * A member that is pinged while it is suspected, dead or left has to learn that first of all, so that it can
     * refute. Otherwise it fails although its acks get through.
     */
    private List<GossipUpdate> claimAboutTarget(MembershipMessage message) {
        if (message instanceof MembershipMessage.Ping ping) {
            MemberEntry target = table.get(ping.targetName());
            if (target != null && target.member().state() != MemberState.ALIVE) {
                return List.of(new GossipUpdate(target.member(), local.self().name()));
            }
        }
        return List.of();
    }

    private int maxTransmissions() {
        return settings.retransmitFactor() * log2(table.liveCount() + 1);
    }

    /** The number of binary digits, 1 at least: the logarithm rounded down, and one. */
    private static int log2(int members) {
        return Math.max(1, Integer.SIZE - Integer.numberOfLeadingZeros(members));
    }

    /** Schedules the next round where there is something to disseminate. */
    void scheduleRound(long nowUs) {
        if (!broadcasts.isEmpty() && nextRoundAtUs == Long.MAX_VALUE) {
            nextRoundAtUs = nowUs + settings.probePeriodUs() / ROUNDS_PER_PERIOD;
        }
    }

    long nextUs() {
        return nextRoundAtUs;
    }

    void onTime(long nowUs) {
        if (nowUs < nextRoundAtUs) {
            return;
        }
        nextRoundAtUs = Long.MAX_VALUE;
        List<Member> targets = new ArrayList<>(table.liveMembers());
        for (int i = 0; i < settings.indirectProbes() && !targets.isEmpty() && !broadcasts.isEmpty(); i++) {
            send(random.removeOne(targets).address(), gossip());
        }
    }

    /** Announces the local member's leave to several others, in messages of its own: there is no later round. */
    void announceLeave() {
        List<Member> targets = new ArrayList<>(table.liveMembers());
        int messages = Math.min(targets.size(), LEAVE_FACTOR * log2(targets.size()));
        for (int i = 0; i < messages; i++) {
            actions.send(random.removeOne(targets).address(), gossip());
        }
    }

    private MembershipMessage gossip() {
        return new MembershipMessage.Gossip(local.self(), List.of());
    }
}
