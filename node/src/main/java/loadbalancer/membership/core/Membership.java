package loadbalancer.membership.core;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import loadbalancer.membership.core.View.Entry;

/**
 * One process's part in its fleet's membership, and its view of it. A SWIM-family protocol: members are asked
 * in turn, by others too before they are suspected, have time to contradict, and what changes rides on the
 * messages that go anyway.
 *
 * <p>All is agreed in the end and nothing at once: two processes may hold different views, events may come in
 * another order elsewhere, and two halves that are cut off from each other both go on. Who needs more asks
 * the list service.
 *
 * <p>Single-threaded; calls its {@link Actions} only from within an event. The same events and seed give the
 * same actions.
 */
public final class Membership {
    /** Rounds for which a member that goes is told of, and members told at once. */
    private static final int GOODBYES = 3;
    /**
     * So often in a period what is new goes to some at random, beside what rides: pings slow down amid
     * trouble.
     */
    private static final int GOSSIPS = 4;
    /** While nobody else is known, seeds are tried so many periods apart, on average. */
    private static final int ALONE_PERIODS = 2;

    /** What it wants done. */
    public interface Actions {
        /** Sends one datagram. */
        void send(String address, Message message);

        /**
         * Exchanges all that is known with whoever listens there: {@link #state} goes, {@link #onState}
         * comes.
         */
        void exchange(String address);

        /** Tells the listener. */
        void changed(MembershipChange change);

        /** A member that was asked answered after so long. */
        void roundTrip(long us);

        /** Calls {@link #onWake} at this time or soon after; the last call counts. */
        void wakeAt(long atUs);
    }

    private final MembershipSettings set;
    private final Actions out;
    private final SplittableRandom random;
    private final FailureDetector prober;
    private final BroadcastQueue rumors = new BroadcastQueue();
    private final View others = new View();
    private final LocalMember identity;
    private boolean over;
    private long version;
    private long nowUs;
    private long exchangeAtUs = Long.MAX_VALUE;
    private long forgetAtUs = Long.MAX_VALUE;
    private long lostAtUs = Long.MAX_VALUE;
    private long gossipAtUs = Long.MAX_VALUE;
    /** When it asked to be called; much later means that it stood still. */
    private long wakeAtUs = Long.MAX_VALUE;

    /** @param birthUs when this process began, in microseconds of Unix time */
    public Membership(MembershipSettings settings, long seed, long birthUs, Actions actions) {
        settings.validate();
        set = settings;
        out = actions;
        random = new SplittableRandom(seed);
        identity = new LocalMember(set, birthUs, new LocalMember.Outside() {
            @Override
            public long number() {
                return prober.number();
            }

            @Override
            public void send(String address, Message message) {
                Membership.this.send(address, message);
            }

            @Override
            public void wasSuspected() {
                prober.wasSuspected();
            }

            @Override
            public void announced(Member self) {
                rumors.add(new GossipUpdate(self, self.name()));
                version++;
            }

            @Override
            public void gaveWay(Member to) {
                end();
                tell(MembershipChange.Kind.GAVE_WAY, to);
            }

            @Override
            public void tookOver(Member from) {
                tell(MembershipChange.Kind.TAKEN_OVER, from);
            }
        });
        prober = new FailureDetector(set, random, new FailureDetector.Outside() {
            @Override
            public Member self() {
                return identity.self();
            }

            @Override
            public Member live(String name) {
                return others.live(name);
            }

            @Override
            public List<String> liveNames() {
                return others.liveOnes().stream().map(Member::name).toList();
            }

            @Override
            public void send(String address, Message message) {
                Membership.this.send(address, message);
            }

            @Override
            public void roundTrip(long us) {
                out.roundTrip(us);
            }

            @Override
            public void silent(String name) {
                hear(new GossipUpdate(others.get(name).member().in(MemberState.SUSPECT), self().name()), false);
            }
        });
    }

    // ---------------------------------------------------------------- the view

    /** All that are held for live, this process included, by name. */
    public List<Member> members() {
        TreeMap<String, Member> byName = new TreeMap<>();
        others.liveOnes().forEach(member -> byName.put(member.name(), member));
        if (!over) {
            byName.put(self().name(), self());
        }
        return List.copyOf(byName.values());
    }

    /** How many are held for live, this process included. */
    public int live() {
        return others.live() + (over ? 0 : 1);
    }

    /** Grows with each change. */
    public long version() {
        return version;
    }

    /** Equal for two processes that hold the same members, in the same lives, for live. */
    public long digest() {
        return others.digest() + (over ? 0 : View.hash(self()));
    }

    public Member self() {
        return identity.self();
    }

    /** How much this process doubts itself, from 0. */
    public int health() {
        return prober.health();
    }

    // ---------------------------------------------------------------- its life

    /** Begins to take part. */
    public void start(long now) {
        nowUs = now;
        prober.start(now);
        rumors.add(new GossipUpdate(self(), self().name()));
        exchangeAtUs = now;
        lostAtUs = now + set.probePeriodUs();
        schedule();
    }

    /** Says that it goes, and takes part no more. */
    public void leave(long now) {
        nowUs = now;
        if (over) {
            return;
        }
        identity.left();
        List<Member> to = new ArrayList<>(others.liveOnes());
        int told = Math.min(to.size(), GOODBYES * logOf(to.size()));
        for (int i = 0; i < told; i++) {
            out.send(to.remove(random.nextInt(to.size())).address(), new Message.Gossip(self(), List.of()));
        }
        end();
    }

    private void end() {
        over = true;
        prober.stop();
        rumors.forget(self().name());
    }

    /** Whether it takes part no more: it has left or given way. */
    public boolean isOver() {
        return over;
    }

    /** Handles the timer that was set by {@code wakeAt}. */
    public void onWake(long now) {
        begin(now);
        if (over) {
            return;
        }
        prober.onTime(now);
        for (Entry entry : others.nextSuspicionUs() > now ? List.<Entry>of() : others.suspected()) {
            if (entry.suspicion().endsUs() <= now) {
                hear(new GossipUpdate(entry.member().in(MemberState.DEAD), self().name()), false);
            }
        }
        identity.onTime(now);
        if (now >= exchangeAtUs) {
            exchange();
        }
        if (now >= lostAtUs) {
            lookForLost();
        }
        if (now >= forgetAtUs) {
            forget();
        }
        if (now >= gossipAtUs) {
            gossip();
        }
        schedule();
    }

    /**
     * An event begins. One that comes when it should have been called long ago tells that this process stood
     * still: it doubts itself, and gives those whom it suspects the time that it did not hear them.
     */
    private void begin(long now) {
        nowUs = now;
        long late = now - wakeAtUs;
        if (late > set.probePeriodUs() && !over) {
            wakeAtUs = now;
            prober.stoodStill();
            others.suspected().forEach(entry -> entry.suspicion().putOff(late));
        }
    }

    private void schedule() {
        if (over) {
            return;
        }
        if (rumors.size() > 0 && gossipAtUs == Long.MAX_VALUE) {
            gossipAtUs = nowUs + set.probePeriodUs() / GOSSIPS;
        }
        long at = Math.min(Math.min(prober.nextUs(), exchangeAtUs), Math.min(forgetAtUs, lostAtUs));
        at = Math.min(at, Math.min(gossipAtUs, others.nextSuspicionUs()));
        wakeAtUs = Math.max(nowUs, Math.min(at, identity.nextUs()));
        out.wakeAt(wakeAtUs);
    }

    /** Passes on what is new, for as long as there is some. */
    private void gossip() {
        gossipAtUs = Long.MAX_VALUE;
        List<Member> to = new ArrayList<>(others.liveOnes());
        for (int i = 0; i < set.indirectProbes() && !to.isEmpty() && rumors.size() > 0; i++) {
            send(to.remove(random.nextInt(to.size())).address(), new Message.Gossip(self(), List.of()));
        }
    }

    // ---------------------------------------------------------------- repair

    /** With one live member, or with seeds while there is none: repairs what rumors missed. */
    private void exchange() {
        List<Member> live = others.liveOnes();
        if (live.isEmpty()) {
            set.seeds().stream().filter(seed -> !seed.equals(set.address())).forEach(out::exchange);
        } else {
            out.exchange(live.get(random.nextInt(live.size())).address());
        }
        long mean = live.isEmpty() ? ALONE_PERIODS * set.probePeriodUs() : set.stateSyncIntervalUs();
        exchangeAtUs = nowUs + mean / 2 + random.nextLong(mean);
    }

    /**
     * Asks one that is held for dead, or a seed that nobody live has the address of: two halves that hold
     * each other for dead find each other again so. For as long as the dead are remembered, and for seeds for
     * ever.
     */
    private void lookForLost() {
        lostAtUs = nowUs + set.probePeriodUs() / 2 + random.nextLong(set.probePeriodUs());
        List<Member> dead =
                others.members().filter(m -> m.state() == MemberState.DEAD).toList();
        List<String> seeds = set.seeds().stream()
                .filter(seed -> !seed.equals(set.address())
                        && others.members().noneMatch(m -> m.address().equals(seed)))
                .toList();
        int choice = dead.size() + seeds.size() == 0 ? -1 : random.nextInt(dead.size() + seeds.size());
        if (choice >= 0 && choice < dead.size()) {
            send(
                    dead.get(choice).address(),
                    new Message.Ping(prober.number(), dead.get(choice).name(), self(), List.of()));
        } else if (choice >= 0 && others.live() > 0) {
            out.exchange(seeds.get(choice - dead.size()));
        }
    }

    private void forget() {
        forgetAtUs = Long.MAX_VALUE;
        for (Entry entry : List.copyOf(others.all())) {
            if (entry.isLive()) {
                continue;
            }
            long atUs = entry.endedAtUs() + set.tombstoneRetentionUs();
            if (atUs <= nowUs) {
                drop(entry);
            } else {
                forgetAtUs = Math.min(forgetAtUs, atUs);
            }
        }
    }

    private void drop(Entry entry) {
        others.drop(entry);
        rumors.forget(entry.member().name());
        tell(MembershipChange.Kind.FORGOTTEN, entry.member());
    }

    /** All that is known, for an exchange. */
    public List<GossipUpdate> state() {
        List<GossipUpdate> all = new ArrayList<>(others.size() + 1);
        all.add(new GossipUpdate(self(), self().name()));
        others.members().forEach(member -> all.add(new GossipUpdate(member, self().name())));
        return all;
    }

    /** What another has told of all that it knows. */
    public void onState(long now, List<GossipUpdate> all) {
        begin(now);
        if (over) {
            return;
        }
        all.forEach(rumor -> hear(rumor, true));
        schedule();
    }

    // ---------------------------------------------------------------- messages

    private void send(String address, Message message) {
        int times = set.retransmitFactor() * logOf(others.live() + 1);
        List<GossipUpdate> riding = new ArrayList<>();
        if (message instanceof Message.Ping ping) {
            // Whoever is suspected or held for dead is to hear of it first, so that it can contradict.
            Entry target = others.get(ping.to());
            if (target != null && target.member().state() != MemberState.ALIVE) {
                riding.add(new GossipUpdate(target.member(), self().name()));
            }
        }
        int left = set.gossipBudgetBytes()
                - riding.stream().mapToInt(BroadcastQueue::size).sum();
        riding.addAll(rumors.take(left, times));
        out.send(address, message.with(riding));
    }

    private static int logOf(int members) {
        return Math.max(1, 32 - Integer.numberOfLeadingZeros(members));
    }

    /** Handles a message from another member. */
    public void onMessage(long now, Message message) {
        begin(now);
        if (over) {
            return;
        }
        if (message instanceof Message.Ping ping) {
            onPing(ping);
        } else if (message instanceof Message.Ack ack) {
            onAck(ack);
        } else if (message instanceof Message.Nack nack) {
            hear(new GossipUpdate(nack.from(), nack.from().name()), false);
            prober.onNack(nack);
        } else if (message instanceof Message.Gossip gossip) {
            hear(new GossipUpdate(gossip.from(), gossip.from().name()), false);
        } else if (message instanceof Message.PingRequest request) {
            hear(new GossipUpdate(request.from(), request.from().name()), false);
            prober.onRequest(now, request);
        }
        if (!over) {
            message.rumors().forEach(rumor -> hear(rumor, false));
            schedule();
        }
    }

    private void onPing(Message.Ping ping) {
        Entry before = others.get(ping.from().name());
        boolean returns = before != null && before.member().state() == MemberState.DEAD;
        hear(new GossipUpdate(ping.from(), ping.from().name()), false);
        // Whoever has taken the address of the one that is meant is not him.
        if (over || !ping.to().equals(self().name())) {
            return;
        }
        List<GossipUpdate> told = new ArrayList<>();
        if (returns && before.member().state() == MemberState.DEAD) {
            // It does not know yet that it was given up: let it contradict, and learn what else it missed.
            told.add(new GossipUpdate(before.member(), self().name()));
            out.exchange(ping.from().address());
        }
        told.addAll(rumors.take(
                set.gossipBudgetBytes()
                        - told.stream().mapToInt(BroadcastQueue::size).sum(),
                set.retransmitFactor() * logOf(others.live() + 1)));
        out.send(ping.from().address(), new Message.Ack(ping.number(), self(), told));
    }

    private void onAck(Message.Ack ack) {
        if (identity.isRivalsAnswer(ack)) {
            return;
        }
        hear(new GossipUpdate(ack.from(), ack.from().name()), false);
        prober.onAck(nowUs, ack);
    }

    // ---------------------------------------------------------------- what is heard

    /**
     * @param old whether it may be long past: a death that was settled elsewhere is put to the one that it is
     * about
     */
    private void hear(GossipUpdate rumor, boolean old) {
        Member told = rumor.member();
        if (told.name().equals(self().name())) {
            identity.heard(nowUs, told);
            return;
        }
        Entry entry = others.get(told.name());
        if (entry == null) {
            begin(rumor);
        } else if (told.overrides(entry.member())) {
            boolean settledElsewhere = old
                    && told.state() == MemberState.DEAD
                    && entry.member().state().isLive()
                    && told.incarnation().equals(entry.member().incarnation());
            if (!settledElsewhere) {
                apply(entry, rumor);
            } else if (entry.member().state() == MemberState.ALIVE) {
                apply(entry, new GossipUpdate(told.in(MemberState.SUSPECT), rumor.by()));
                // At once, as many at a time are held for dead by the other side of what was cut.
                send(told.address(), new Message.Ping(prober.number(), told.name(), self(), List.of()));
            }
        } else if (entry.suspicion() != null
                && told.state() == MemberState.SUSPECT
                && told.incarnation().equals(entry.member().incarnation())
                && entry.suspicion().confirm(rumor.by())) {
            rumors.add(rumor);
        }
    }

    private void begin(GossipUpdate rumor) {
        Member told = rumor.member();
        if (others.size() + 1 >= set.maxMembers() && !makeRoom(told)) {
            tell(MembershipChange.Kind.TURNED_AWAY, told);
            return;
        }
        Entry entry = others.add(told, nowUs);
        rumors.add(rumor);
        if (told.state().isLive()) {
            prober.joined(told.name());
            tell(MembershipChange.Kind.JOINED, told);
            suspectIfTold(entry, rumor);
        } else {
            forgetInTime();
        }
    }

    /** A live one takes the place of the one that ended first; one that has ended itself takes nobody's. */
    private boolean makeRoom(Member forWhom) {
        Entry oldest = others.firstEnded();
        if (oldest == null || !forWhom.state().isLive()) {
            return false;
        }
        drop(oldest);
        return true;
    }

    private void apply(Entry entry, GossipUpdate rumor) {
        Member before = entry.member();
        boolean wasSuspected = entry.suspicion() != null;
        Member now = rumor.member();
        others.set(entry, now, nowUs);
        rumors.add(rumor);
        if (!now.state().isLive()) {
            if (before.state().isLive()) {
                tell(now.state() == MemberState.LEFT ? MembershipChange.Kind.LEFT : MembershipChange.Kind.DIED, now);
            }
            forgetInTime();
            return;
        }
        if (!before.state().isLive()) {
            prober.joined(now.name());
            tell(MembershipChange.Kind.JOINED, now);
        } else if (now.state() == MemberState.ALIVE) {
            if (wasSuspected) {
                tell(MembershipChange.Kind.CLEARED, now);
            }
            if (!now.with(before.incarnation(), MemberState.ALIVE).equals(before.in(MemberState.ALIVE))
                    || now.incarnation().birth() != before.incarnation().birth()) {
                tell(MembershipChange.Kind.UPDATED, now);
            }
        }
        suspectIfTold(entry, rumor);
    }

    private void suspectIfTold(Entry entry, GossipUpdate rumor) {
        if (entry.member().state() != MemberState.SUSPECT) {
            return;
        }
        long least = (long) (set.suspicionPeriods() * Math.max(1, Math.log10(others.live() + 1)) * set.probePeriodUs());
        // Where fewer others are there to confirm it, fewer are waited for.
        int wanted = Math.max(0, Math.min(set.suspicionConfirmations(), others.live() - 2));
        others.suspect(
                entry,
                new Suspicion(
                        nowUs, least, wanted == 0 ? least : set.maxSuspicionFactor() * least, wanted, rumor.by()));
        tell(MembershipChange.Kind.SUSPECTED, entry.member());
    }

    private void forgetInTime() {
        forgetAtUs = Math.min(forgetAtUs, nowUs + set.tombstoneRetentionUs());
    }

    private void tell(MembershipChange.Kind kind, Member member) {
        version++;
        out.changed(new MembershipChange(kind, member, version));
    }
}
