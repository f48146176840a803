package loadbalancer.rig.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Incarnation;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;
import loadbalancer.membership.core.MembershipActions;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipMessage;
import loadbalancer.membership.core.MembershipProtocol;
import loadbalancer.membership.core.MembershipSettings;

/**
 * All orders of events of a very small fleet, up to a depth: any message on its way may come next or get
 * lost, any process's time may come next, one process may crash, one may leave, and one may be cut off and
 * found again.
 *
 * <p>What a core has become depends on nothing but the events that it was given, in their order. So two paths
 * that gave each process the same events in the same order have come to the same state, and one of them is
 * enough; a state is reached anew by playing its path again, as cores cannot be copied. Exchanges of all that
 * is known happen at once, amid the event that asks for them.
 */
public final class ModelCheck {
    private static final long BIRTH = 1_000_000_000L;
    /**
     * In the end all is fair: nothing is lost, time passes for all. By then all who live have to hold the
     * same.
     */
    private static final int FAIR_PERIODS = 15;

    private final int processes;
    private final int depth;
    private final long mostStates;
    private final Set<List<Long>> seen = new HashSet<>();
    private final List<String> broken = new ArrayList<>();
    private long states;
    private long ends;
    private boolean cutShort;

    /**
     * What came of it.
     *
     * @param states different ones that were reached
     * @param ends of these, the ones from which all was played out fairly
     * @param whole whether all states up to the depth were reached
     * @param broken what was found, with the path to it
     */
    public record Result(long states, long ends, boolean whole, List<String> broken) {}

    private ModelCheck(int processes, int depth, long mostStates) {
        this.processes = processes;
        this.depth = depth;
        this.mostStates = mostStates;
    }

    /** Plays all of them, or as many states as are allowed. */
    public static Result check(int processes, int depth, long mostStates) {
        ModelCheck check = new ModelCheck(processes, depth, mostStates);
        check.explore(new ArrayList<>());
        return new Result(check.states, check.ends, !check.cutShort, check.broken);
    }

    private void explore(List<Integer> path) {
        if (states >= mostStates || broken.size() > 10) {
            cutShort = true;
            return;
        }
        World reached = replay(path);
        if (!seen.add(reached.key())) {
            return;
        }
        states++;
        if (!reached.faults.isEmpty()) {
            broken.add(path + ": " + reached.faults);
            return;
        }
        int choices = reached.choices();
        if (path.size() < depth) {
            for (int choice = 0; choice < choices; choice++) {
                path.add(choice);
                explore(path);
                path.remove(path.size() - 1);
            }
            return;
        }
        ends++;
        String wrong = reached.playOutFairly();
        if (wrong != null) {
            broken.add(path + ": " + wrong);
        }
    }

    private World replay(List<Integer> path) {
        World world = new World();
        path.forEach(world::choose);
        return world;
    }

    /** One fleet on its path. */
    private final class World {
        private final Process[] fleet = new Process[processes];
        private final List<Sent> underWay = new ArrayList<>();
        private final List<String> faults = new ArrayList<>();
        private int cutOff = -1;
        private boolean mayCut = true;
        private boolean mayCrash = true;
        private boolean mayLeave = true;

        private record Sent(int from, String to, MembershipMessage message) {}

        World() {
            for (int i = 0; i < processes; i++) {
                fleet[i] = new Process(i, this);
            }
            // They know each other from the start: how they get there is no matter of order.
            for (Process a : fleet) {
                for (Process b : fleet) {
                    if (a != b) {
                        a.event("state of " + b.number, core -> core.onStateSync(a.nowUs, b.core.stateSnapshot()));
                    }
                }
            }
            underWay.clear();
        }

        /** Equal for two worlds whose processes were given the same events in the same order. */
        List<Long> key() {
            List<Long> key = new ArrayList<>();
            for (Process process : fleet) {
                key.add(process.events);
            }
            key.add((long) cutOff);
            key.add((mayCut ? 1L : 0) + (mayCrash ? 2 : 0) + (mayLeave ? 4 : 0));
            underWay.stream().mapToLong(Sent::hashCode).sorted().forEach(key::add);
            return key;
        }

        int choices() {
            return processes
                    + 2 * underWay.size()
                    + (mayCrash ? 1 : 0)
                    + (mayLeave ? 1 : 0)
                    + (mayCut || cutOff >= 0 ? 1 : 0);
        }

        void choose(int choice) {
            int left = choice;
            if (left < processes) {
                fleet[left].wake();
                return;
            }
            left -= processes;
            if (left < underWay.size()) {
                deliver(underWay.remove(left));
                return;
            }
            left -= underWay.size();
            if (left < underWay.size()) {
                // Losing is bounded by the depth alone.
                underWay.remove(left);
                return;
            }
            left -= underWay.size();
            if (mayCrash && left-- == 0) {
                mayCrash = false;
                fleet[processes - 1].up = false;
            } else if (mayLeave && left-- == 0) {
                mayLeave = false;
                Process leaving = fleet[processes - 1];
                if (leaving.up) {
                    leaving.event("leave", core -> core.leave());
                    leaving.up = false;
                }
            } else {
                mayCut = false;
                cutOff = cutOff < 0 ? 0 : -1;
            }
        }

        private boolean comesThrough(int from, int to) {
            return cutOff < 0 || (from == cutOff) == (to == cutOff);
        }

        private void deliver(Sent sent) {
            for (Process to : fleet) {
                if (to.address().equals(sent.to) && to.up && comesThrough(sent.from, to.number)) {
                    to.event(sent.message.toString(), core -> core.onMessage(to.nowUs, sent.message));
                }
            }
        }

        private void exchange(Process from, String address) {
            for (Process to : fleet) {
                if (to.address().equals(address) && to.up && from.up && comesThrough(from.number, to.number)) {
                    List<GossipUpdate> mine = from.core.stateSnapshot();
                    List<GossipUpdate> theirs = to.core.stateSnapshot();
                    to.event("exchange " + mine, core -> core.onStateSync(to.nowUs, mine));
                    from.event("exchange " + theirs, core -> core.onStateSync(from.nowUs, theirs));
                }
            }
        }

        /** Nothing is lost from now on and time passes for all alike; null if all comes right. */
        String playOutFairly() {
            cutOff = -1;
            for (int i = 0; i < FAIR_PERIODS * 20; i++) {
                Process next = null;
                for (Process process : fleet) {
                    if (process.up && (next == null || process.wakeAtUs < next.wakeAtUs)) {
                        next = process;
                    }
                }
                if (next == null) {
                    return null;
                }
                next.wake();
                while (!underWay.isEmpty()) {
                    deliver(underWay.remove(0));
                }
            }
            if (!faults.isEmpty()) {
                return faults.toString();
            }
            Set<Long> digests = new HashSet<>();
            int up = 0;
            for (Process process : fleet) {
                if (process.up) {
                    up++;
                    digests.add(process.core.digest());
                }
            }
            for (Process process : fleet) {
                if (process.up && (digests.size() != 1 || process.core.liveCount() != up)) {
                    return "process " + process.number + " holds " + process.core.stateSnapshot() + " in the end";
                }
            }
            return null;
        }
    }

    /** One process, with a clock of its own: how fast it runs against the others' is part of the order. */
    private final class Process implements MembershipActions {
        private final int number;
        private final World world;
        private final MembershipProtocol core;
        /** What it has been given, summed up in order. */
        private long events = 1;

        private boolean up = true;
        private long nowUs;
        private long wakeAtUs;
        /** What it held of each name before this event, and who has left by its knowledge, in which life. */
        private final Map<String, Member> held = new HashMap<>();

        private final Map<String, Incarnation> left = new HashMap<>();
        private boolean busy;
        private final List<Runnable> later = new ArrayList<>();

        Process(int number, World world) {
            this.number = number;
            this.world = world;
            // As little of each as still does all: fewer probes and periods make more of the space fit the depth.
            MembershipSettings small = MembershipSettings.builder("p" + number, address(), "z", "node", List.of("p0:1"))
                    .indirectProbes(1)
                    .suspicionPeriods(1)
                    .maxSuspicionFactor(1)
                    .suspicionConfirmations(0)
                    .maxLocalHealth(1)
                    .retransmitFactor(2)
                    .build();
            core = new MembershipProtocol(small, number + 1, BIRTH + number, this);
            core.start(0);
        }

        String address() {
            return "p" + number + ":1";
        }

        void wake() {
            if (up) {
                nowUs = Math.max(nowUs, wakeAtUs);
                event("wake " + nowUs, told -> told.onWake(nowUs));
            }
        }

        private interface Event {
            void giveTo(MembershipProtocol core);
        }

        void event(String what, Event event) {
            if (busy) {
                // An exchange that begins amid an event of this process is carried out after it.
                later.add(() -> event(what, event));
                return;
            }
            busy = true;
            events = events * 0x9E3779B97F4A7C15L + what.hashCode();
            event.giveTo(core);
            busy = false;
            look();
            while (!later.isEmpty()) {
                later.remove(0).run();
            }
        }

        /** No word about a name may go behind one that was held before, and who has left stays so. */
        private void look() {
            Map<String, Member> now = new TreeMap<>();
            core.stateSnapshot().stream()
                    .skip(1)
                    .forEach(update -> now.put(update.member().name(), update.member()));
            now.forEach((name, member) -> {
                Member before = held.get(name);
                if (member.state() == MemberState.LEFT) {
                    left.put(name, member.incarnation());
                } else if (member.incarnation().equals(left.get(name))) {
                    world.faults.add("process " + number + " took back that " + name + " has left");
                }
                if (before == null) {
                    return;
                }
                int order = member.incarnation().compareTo(before.incarnation());
                if (order < 0 || order == 0 && member.state().compareTo(before.state()) < 0) {
                    world.faults.add("process " + number + " held " + before + ", and then " + member);
                }
            });
            held.clear();
            held.putAll(now);
        }

        @Override
        public void send(String address, MembershipMessage message) {
            world.underWay.add(new World.Sent(number, address, message));
        }

        @Override
        public void startStateSync(String address) {
            later.add(() -> world.exchange(this, address));
        }

        @Override
        public void onChange(MembershipChange change) {
            // The views tell.
        }

        @Override
        public void onRoundTrip(long us) {
            // Clocks of their own make no sense of it.
        }

        @Override
        public void scheduleWake(long atUs) {
            wakeAtUs = atUs;
        }
    }
}
