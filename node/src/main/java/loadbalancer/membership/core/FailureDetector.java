package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Probes one member per period: a ping, then, if no ack arrives within the probe timeout, indirect pings through other
 * members. A member without an ack at the end of the period is suspected. Missing acks and nacks degrade the local
 * health, which lengthens the period and the timeout.
 */
final class FailureDetector {
    /** Probe of the current period. */
    private static final class Probe {
        private final String targetName;
        private final long sequence;
        private final long sentAtUs;
        private boolean acked;
        private boolean indirect;
        /** Ping requests without a nack. Counts only if no ack arrives either. */
        private int missingNacks;

        Probe(String targetName, long sequence, long sentAtUs) {
            this.targetName = targetName;
            this.sequence = sequence;
            this.sentAtUs = sentAtUs;
        }
    }

    private final MembershipSettings settings;
    private final MembershipActions actions;
    private final ProtocolRandom random;
    private final MemberTable table;
    private final LocalMember local;
    private final LocalHealth health;
    private final PingSender pings;
    private final ProbeOrder order;
    private final UpdateMerger merger;
    /** Null before the first probe, in a period without a live target, and after a cancelled probe. */
    private Probe probe;

    private long indirectAtUs = Long.MAX_VALUE;
    private long periodEndsAtUs = Long.MAX_VALUE;

    FailureDetector(
            MembershipSettings settings,
            MembershipActions actions,
            ProtocolRandom random,
            MemberTable table,
            LocalMember local,
            LocalHealth health,
            PingSender pings,
            ProbeOrder order,
            UpdateMerger merger) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.table = table;
        this.local = local;
        this.health = health;
        this.pings = pings;
        this.order = order;
        this.merger = merger;
    }

    /** Ends the first period at a random time, so that members that start together do not probe together. */
    void start(long nowUs) {
        periodEndsAtUs = nowUs + random.nextLong(settings.probePeriodUs());
    }

    void stop() {
        periodEndsAtUs = Long.MAX_VALUE;
        indirectAtUs = Long.MAX_VALUE;
    }

    /** Discards the current probe: its ack may have arrived during a pause of this process and not been read yet. */
    void cancelProbe() {
        probe = null;
    }

    long nextUs() {
        return Math.min(indirectAtUs, periodEndsAtUs);
    }

    void onTime(long nowUs) {
        if (nowUs >= indirectAtUs) {
            indirectAtUs = Long.MAX_VALUE;
            probeIndirectly();
        }
        if (nowUs >= periodEndsAtUs) {
            endProbe(nowUs);
            startProbe(nowUs);
        }
    }

    private void startProbe(long nowUs) {
        periodEndsAtUs = nowUs + settings.probePeriodUs() * health.timeFactor();
        Member target = order.next();
        if (target == null) {
            return;
        }
        indirectAtUs = nowUs + settings.probeTimeoutUs() * health.timeFactor();
        probe = new Probe(target.name(), pings.ping(target), nowUs);
    }

    private void probeIndirectly() {
        Member target = probe == null || probe.acked ? null : table.live(probe.targetName);
        if (target == null) {
            return;
        }
        List<Member> relays = new ArrayList<>(table.liveMembers());
        relays.removeIf(member -> member.name().equals(target.name()));
        for (int i = 0; i < settings.indirectProbes() && !relays.isEmpty(); i++) {
            pings.requestPing(random.removeOne(relays), target, probe.sequence);
            probe.indirect = true;
            probe.missingNacks++;
        }
    }

    private void endProbe(long nowUs) {
        Probe ended = probe;
        probe = null;
        if (ended == null) {
            return;
        }
        if (ended.acked) {
            health.improve();
            return;
        }
        // A relay that has not even sent a nack suggests that this process is slow or cut off, not the target.
        health.degrade(ended.indirect ? ended.missingNacks : 1);
        Member target = table.live(ended.targetName);
        if (target != null) {
            GossipUpdate suspicion = new GossipUpdate(
                    target.withState(MemberState.SUSPECT), local.self().name());
            merger.merge(nowUs, suspicion, UpdateMerger.Source.MESSAGE);
        }
    }

    /** Records the ack if it belongs to the current probe. Returns whether it does. */
    boolean onAck(long nowUs, MembershipMessage.Ack ack) {
        if (!matchesProbe(ack.sequence())) {
            return false;
        }
        if (!probe.acked && !probe.indirect) {
            actions.onRoundTrip(nowUs - probe.sentAtUs);
        }
        probe.acked = true;
        return true;
    }

    void onNack(MembershipMessage.Nack nack) {
        if (matchesProbe(nack.sequence())) {
            probe.missingNacks = Math.max(0, probe.missingNacks - 1);
        }
    }

    private boolean matchesProbe(long sequence) {
        return probe != null && probe.sequence == sequence;
    }
}
