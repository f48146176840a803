package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import loadbalancer.membership.core.UpdateMerger.Source;

/**
 * Runs the membership protocol for one process of a fleet: a SWIM-family protocol with Lifeguard's extensions, as a
 * state machine. Each event carries its time, and all effects go to {@link MembershipActions}.
 *
 * <p>Views are eventually consistent: two processes may have different views, may see changes in a different order, and
 * both halves of a partitioned network continue. Code that needs stronger guarantees must not rely on membership.
 *
 * <p>Not thread-safe. The same events and seed produce the same actions.
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
    /** Time of the scheduled wake. */
    private long wakeAtUs = Long.MAX_VALUE;

    private boolean ended;

    /**
     * Creates the protocol without starting it. Throws InvalidSettingException if a setting is out of bounds.
     *
     * @param seed seed of all random choices
     * @param startedAtUs start time of this process, in microseconds of Unix time
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

    /** Live members in the order of their names, including this process until it has ended. */
    public List<Member> liveMembers() {
        TreeMap<String, Member> byName = new TreeMap<>();
        table.liveMembers().forEach(member -> byName.put(member.name(), member));
        if (!ended) {
            byName.put(self().name(), self());
        }
        return List.copyOf(byName.values());
    }

    /** Number of live members, including this process until it has ended. */
    public int liveCount() {
        return table.liveCount() + (ended ? 0 : 1);
    }

    /** Version of this process's view: increases with each notified change and each new incarnation of this process. */
    public long version() {
        return notifier.version();
    }

    /** Equal for two processes whose views have the same live members in the same generations. */
    public long digest() {
        return table.digest() + (ended ? 0 : MemberTable.hash(self()));
    }

    public Member self() {
        return local.self();
    }

    /** Local health score; 0 is healthy. */
    public int localHealth() {
        return health.score();
    }

    /** Full state for a state sync: this process first, then all other members, including tombstones. */
    public List<GossipUpdate> stateSnapshot() {
        List<GossipUpdate> snapshot = new ArrayList<>(table.size() + 1);
        snapshot.add(local.asUpdate());
        table.members().forEach(member -> snapshot.add(new GossipUpdate(member, self().name())));
        return snapshot;
    }

    // ---------------------------------------------------------------- lifecycle

    /** Starts probing, announces this process and schedules the first state sync. */
    public void start(long nowUs) {
        failureDetector.start(nowUs);
        local.announce();
        stateSync.start(nowUs);
        partitionRepair.start(nowUs);
        scheduleWake(nowUs);
    }

    /** Announces that this process leaves, then ends participation. Does nothing if already ended. */
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

    /** Whether this process no longer participates: it has left, or has yielded its name to another process. */
    public boolean isEnded() {
        return ended;
    }

    // ---------------------------------------------------------------- events

    /** Handles the scheduled wake: runs everything that is due. */
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

    /** Merges the state received from a peer in a state sync. */
    public void onStateSync(long nowUs, List<GossipUpdate> snapshot) {
        detectPause(nowUs);
        if (ended) {
            return;
        }
        snapshot.forEach(update -> merger.merge(nowUs, update, Source.STATE_SYNC));
        scheduleWake(nowUs);
    }

    /** Handles a message from another member. */
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

    /** Merges the sender's record of itself, which every message carries, as an update reported by the sender. */
    private void mergeSender(long nowUs, MembershipMessage message) {
        Member sender = message.sender();
        merger.merge(nowUs, new GossipUpdate(sender, sender.name()), Source.MESSAGE);
    }

    private void onPing(long nowUs, MembershipMessage.Ping ping) {
        MemberEntry sender = table.get(ping.sender().name());
        boolean wasDead = isDead(sender);
        mergeSender(nowUs, ping);
        if (!ping.targetName().equals(self().name())) {
            // Addressed to a process that had this address before. An ack would make the sender consider that process
            // alive.
            return;
        }
        List<GossipUpdate> priorityUpdates = new ArrayList<>();
        if (wasDead && isDead(sender)) {
            // The sender does not know that it is considered dead. The ack carries that update first, so that the
            // sender refutes it; the state sync delivers the other updates that the sender has missed.
            priorityUpdates.add(new GossipUpdate(sender.member(), self().name()));
            actions.startStateSync(ping.sender().address());
        }
        gossiper.send(
                ping.sender().address(),
                new MembershipMessage.Ack(ping.sequence(), self(), List.of()),
                priorityUpdates);
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
     * Detects a pause of this process, such as on an overloaded machine, by an event that arrives more than one probe
     * period after the scheduled wake. Guards against a resumed process that declares all others dead because it
     * received no acks and refutations during the pause. Degrades the local health by 1, cancels the current probe, and
     * postpones all suspicion timeouts by the delay.
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
