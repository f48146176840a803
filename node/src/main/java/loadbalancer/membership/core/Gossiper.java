package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Disseminates gossip updates: piggybacked on every message except the announcement of a leave, and in rounds of gossip
 * messages to random live members while the broadcast queue holds updates.
 */
final class Gossiper {
    /** A leave is announced at once to this many members per binary digit of the number of other live members. */
    private static final int LEAVE_FACTOR = 3;
    /**
     * Rounds of gossip messages per configured probe period. Piggybacking alone is not enough: members with degraded
     * local health ping less often, which would delay all updates while many members fail.
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

    /** Sends a message with as many updates as fit, first the one that {@link #claimAboutTarget} returns. */
    void send(String address, MembershipMessage message) {
        send(address, message, claimAboutTarget(message));
    }

    /** Sends a message with the given updates first, followed by as many others as fit. */
    void send(String address, MembershipMessage message, List<GossipUpdate> priorityUpdates) {
        int priorityBytes =
                priorityUpdates.stream().mapToInt(GossipUpdate::maxEncodedBytes).sum();
        List<GossipUpdate> updates = new ArrayList<>(priorityUpdates);
        updates.addAll(broadcasts.take(settings.gossipBudgetBytes() - priorityBytes, maxTransmissions()));
        actions.send(address, message.withUpdates(updates));
    }

    /**
     * Returns the record of a ping's target if it is suspected, dead or left, so that the target learns of it and
     * refutes. Without this, a suspected member fails although its acks arrive: an ack in the same incarnation does not
     * supersede the suspicion.
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

    /** Number of binary digits, at least 1: the logarithm rounded down, plus 1. */
    private static int log2(int members) {
        return Math.max(1, Integer.SIZE - Integer.numberOfLeadingZeros(members));
    }

    /** Schedules the next round if there are updates to disseminate and no round is scheduled. */
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

    /**
     * Announces the leave of the local member to several members at once. The sender record of each message carries
     * it: no later round follows in which a queued update could be sent.
     */
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
