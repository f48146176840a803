package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import loadbalancer.membership.core.UpdateMerger.Source;

/**
 * One process's part in the membership of its fleet: a SWIM-family protocol with Lifeguard's extensions, as a state
 * machine. Events come with the time, and what is to be done goes to {@link MembershipActions}.
 *
 * <p>Views are eventually consistent: two processes may hold different ones, changes may come in another order
 * elsewhere, and two halves of a partitioned network both go on. Whoever needs more than that must not rest on
 * membership.
 *
 * <p>Not thread-safe. The same events and seed give the same actions.
 */
public final class MembershipProtocol {
    private final MembershipSettings settings;
    private final MembershipActions actions;
    private final BroadcastQueue broadcasts = new BroadcastQueue();
    private final MemberTable table = new MemberTable();
    private final ChangeNotifier notifier;
    private final LocalMember local;
    private final LocalHealth health;
    private final Gossiper gossiper;
    private final NameConflictResolver nameConflicts;
    private final SuspicionTimers suspicions;
    private final TombstoneRetention tombstones;
    private final UpdateMerger merger;
    private final IndirectProbeRelay relay;
    private final FailureDetector failureDetector;
    private final StateSyncScheduler stateSync;
    private final PartitionRepair partitionRepair;
    /** When this process asked to be woken. */
    private long wakeAtUs = Long.MAX_VALUE;

    private boolean ended;

    /**
     * Throws InvalidSettingException for settings out of their bounds.
     *
     * @param seed of all random choices
     * @param startedAtUs when this process started, in microseconds of Unix time
     */
    public MembershipProtocol(MembershipSettings settings, long seed, long startedAtUs, MembershipActions actions) {
        settings.validate();
        this.settings = settings;
        this.actions = actions;
        ProtocolRandom random = new ProtocolRandom(seed);
        notifier = new ChangeNotifier(actions);
        local = new LocalMember(settings, startedAtUs, broadcasts, notifier);
        health = new LocalHealth(settings.maxLocalHealth());
        gossiper = new Gossiper(settings, actions, random, table, broadcasts, local);
        PingSender pings = new PingSender(local, gossiper);
        ProbeOrder probeOrder = new ProbeOrder(random, table);
        nameConflicts = new NameConflictResolver(settings, local, notifier, pings);
        suspicions = new SuspicionTimers(settings, table);
        tombstones = new TombstoneRetention(settings, table, broadcasts, notifier);
        merger = new UpdateMerger(
                settings,
                table,
                local,
                broadcasts,
                notifier,
                pings,
                probeOrder,
                suspicions,
                tombstones,
                new Refutation(local, health),
                nameConflicts);
        relay = new IndirectProbeRelay(settings, local, gossiper, pings);
        failureDetector =
                new FailureDetector(settings, actions, random, table, local, health, pings, probeOrder, merger);
        stateSync = new StateSyncScheduler(settings, actions, random, table);
        partitionRepair = new PartitionRepair(settings, actions, random, table, pings);
    }

    // ---------------------------------------------------------------- the view

    /** All live members by name, this process included. */
    public List<Member> liveMembers() {
        TreeMap<String, Member> byName = new TreeMap<>();
        table.liveMembers().forEach(member -> byName.put(member.name(), member));
        if (!ended) {
            byName.put(self().name(), self());
        }
        return List.copyOf(byName.values());
    }

    /** How many members are live, this process included. */
    public int liveCount() {
        return table.liveCount() + (ended ? 0 : 1);
    }

    /** Grows with each change. */
    public long version() {
        return notifier.version();
    }

    /** Equal for two processes that hold the same live members in the same generations. */
    public long digest() {
        return table.digest() + (ended ? 0 : MemberTable.hash(self()));
    }

    public Member self() {
        return local.self();
    }

    /** The local health score: 0 is healthy. */
    public int localHealth() {
        return health.score();
    }

    /** All that is held, this process first, tombstones included: what a state sync pushes. */
    public List<GossipUpdate> stateSnapshot() {
        List<GossipUpdate> snapshot = new ArrayList<>(table.size() + 1);
        snapshot.add(local.asUpdate());
        table.members().forEach(member -> snapshot.add(new GossipUpdate(member, self().name())));
        return snapshot;
    }

    // ---------------------------------------------------------------- lifecycle

    /** Begins to take part. */
    public void start(long nowUs) {
        failureDetector.start(nowUs);
        local.announce();
        stateSync.start(nowUs);
        partitionRepair.start(nowUs);
        scheduleWake(nowUs);
    }

    /** Announces that this process leaves, and takes part no more. */
    public void leave() {
        if (ended) {
            return;
        }
        local.markLeft();
        gossiper.announceLeave();
        end();
    }

    private void end() {
        ended = true;
        failureDetector.stop();
        relay.stop();
        broadcasts.remove(self().name());
    }

    /** Whether this process takes part no more: it has left, or yielded its name. */
    public boolean isEnded() {
        return ended;
    }

    // ---------------------------------------------------------------- events

    /** Handles the wake that was scheduled. */
    public void onWake(long nowUs) {
        detectPause(nowUs);
        if (ended) {
            return;
        }
        relay.onTime(nowUs);
        failureDetector.onTime(nowUs);
        for (Member suspect : suspicions.expired(nowUs)) {
            GossipUpdate death = new GossipUpdate(suspect.withState(MemberState.DEAD), self().name());
            merger.merge(nowUs, death, Source.MESSAGE);
        }
        nameConflicts.onTime(nowUs);
        stateSync.onTime(nowUs);
        partitionRepair.onTime(nowUs);
        tombstones.onTime(nowUs);
        gossiper.onTime(nowUs);
        scheduleWake(nowUs);
    }

    /** Handles what a peer has pushed in a state sync. */
    public void onStateSync(long nowUs, List<GossipUpdate> snapshot) {
        detectPause(nowUs);
        if (ended) {
            return;
        }
        snapshot.forEach(update -> merger.merge(nowUs, update, Source.STATE_SYNC));
        scheduleWake(nowUs);
    }

    /** Handles a message of another member. */
    public void onMessage(long nowUs, MembershipMessage message) {
        detectPause(nowUs);
        if (ended) {
            return;
        }
        if (message instanceof MembershipMessage.Ping ping) {
            onPing(nowUs, ping);
        } else if (message instanceof MembershipMessage.Ack ack) {
            onAck(nowUs, ack);
        } else if (message instanceof MembershipMessage.Nack nack) {
            mergeSender(nowUs, nack);
            failureDetector.onNack(nack);
        } else if (message instanceof MembershipMessage.PingRequest request) {
            mergeSender(nowUs, request);
            relay.onPingRequest(nowUs, request);
        } else {
            mergeSender(nowUs, message);
        }
        if (!ended) {
            message.updates().forEach(update -> merger.merge(nowUs, update, Source.MESSAGE));
            scheduleWake(nowUs);
        }
    }

    /** A message is also an update about its sender, reported by the sender. */
    private void mergeSender(long nowUs, MembershipMessage message) {
        Member sender = message.sender();
        merger.merge(nowUs, new GossipUpdate(sender, sender.name()), Source.MESSAGE);
    }

    private void onPing(long nowUs, MembershipMessage.Ping ping) {
        MemberEntry sender = table.get(ping.sender().name());
        boolean wasDead = isDead(sender);
        mergeSender(nowUs, ping);
        if (!ping.targetName().equals(self().name())) {
            // Meant for an earlier process at this address. An ack would keep that one alive for the sender.
            return;
        }
        List<GossipUpdate> first = new ArrayList<>();
        if (wasDead && isDead(sender)) {
            // It does not know that it is held for dead: it has to refute, and to learn what else it missed.
            first.add(new GossipUpdate(sender.member(), self().name()));
            actions.startStateSync(ping.sender().address());
        }
        gossiper.send(ping.sender().address(), new MembershipMessage.Ack(ping.sequence(), self(), List.of()), first);
    }

    private static boolean isDead(MemberEntry entry) {
        return entry != null && entry.member().state() == MemberState.DEAD;
    }

    private void onAck(long nowUs, MembershipMessage.Ack ack) {
        if (nameConflicts.isAckOfRival(ack)) {
            end();
            notifier.notify(MembershipChange.Type.NAME_YIELDED, ack.sender());
            return;
        }
        mergeSender(nowUs, ack);
        if (!failureDetector.onAck(nowUs, ack)) {
            relay.onAck(ack);
        }
    }

    // ---------------------------------------------------------------- time

    /**
     * Guards against a process that was paused, as by a full machine, and then takes all others for dead: it has heard
     * no acks and refutations for that long. An event over a period after the scheduled wake shows the pause. The probe
     * under way is void, and suspicion timeouts move by the length of the pause.
     */
    private void detectPause(long nowUs) {
        long lateUs = nowUs - wakeAtUs;
        if (lateUs > settings.probePeriodUs() && !ended) {
            wakeAtUs = nowUs;
            health.degrade(1);
            failureDetector.cancelProbe();
            suspicions.postpone(lateUs);
        }
    }

    private void scheduleWake(long nowUs) {
        if (ended) {
            return;
        }
        gossiper.scheduleRound(nowUs);
        long next = Math.min(failureDetector.nextUs(), relay.nextUs());
        next = Math.min(next, Math.min(stateSync.nextUs(), partitionRepair.nextUs()));
        next = Math.min(next, Math.min(tombstones.nextUs(), gossiper.nextUs()));
        next = Math.min(next, Math.min(suspicions.nextUs(), nameConflicts.nextUs()));
        wakeAtUs = Math.max(nowUs, next);
        actions.scheduleWake(wakeAtUs);
    }
}
