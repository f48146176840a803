package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Probes one member in each period: a ping, and after the probe timeout indirect pings by other members. A member
 * without an ack at the end of the period is suspected. Missing acks and nacks degrade the local health, which makes
 * period and timeout longer.
 */
final class FailureDetector {
    /** The probe of the current period. */
    private static final class Probe {
        private final String targetName;
        private final long sequence;
        private final long sentAtUs;
        private boolean acked;
        private boolean indirect;
        /** Indirect pings whose relay has sent neither ack nor nack. */
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
    /** Null before the first probe, while nobody else is live, and after a pause of this process. */
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

    /** The first period ends at a random time: members that start together must not probe together. */
    void start(long nowUs) {
        periodEndsAtUs = nowUs + random.nextLong(settings.probePeriodUs());
    }

    void stop() {
        periodEndsAtUs = Long.MAX_VALUE;
        indirectAtUs = Long.MAX_VALUE;
    }

    /** Forgets the probe under way: its ack may have come while this process was paused, and is not read yet. */
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
        // A relay that sends no nack either: it is this process that is slow or cut off, not the target.
        health.degrade(ended.indirect ? ended.missingNacks : 1);
        Member target = table.live(ended.targetName);
        if (target != null) {
            GossipUpdate suspicion = new GossipUpdate(
                    target.withState(MemberState.SUSPECT), local.self().name());
            merger.merge(nowUs, suspicion, UpdateMerger.Source.MESSAGE);
        }
    }

    /** Whether the ack answers the probe under way. */
    boolean onAck(long nowUs, MembershipMessage.Ack ack) {
        if (!isOfProbe(ack.sequence())) {
            return false;
        }
        if (!probe.acked && !probe.indirect) {
            actions.onRoundTrip(nowUs - probe.sentAtUs);
        }
        probe.acked = true;
        return true;
    }

    void onNack(MembershipMessage.Nack nack) {
        if (isOfProbe(nack.sequence())) {
            probe.missingNacks = Math.max(0, probe.missingNacks - 1);
        }
    }

    private boolean isOfProbe(long sequence) {
        return probe != null && probe.sequence == sequence;
    }
}
