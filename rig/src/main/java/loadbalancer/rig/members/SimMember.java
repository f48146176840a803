package loadbalancer.rig.members;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.MembershipActions;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipMessage;
import loadbalancer.membership.core.MembershipProtocol;
import loadbalancer.membership.core.MembershipSettings;
import loadbalancer.rig.history.Event.Kind;
import loadbalancer.rig.time.Timeline.Timer;

/** One process of a simulated fleet: the membership core, driven as the program drives it. */
public final class SimMember {
    /**
     * Events that the system keeps for one that stands still; what comes beyond is lost, as in a full buffer.
     */
    private static final int MOST_KEPT = 200;

    private final MembersWorld world;
    private final String name;
    private final String address;
    private final MembershipSettings settings;
    private MembershipProtocol core;
    private boolean up;
    private boolean paused;
    /** What has come while it stood still; the system keeps it. */
    private final List<Runnable> kept = new ArrayList<>();

    private Timer wake;
    private int life;
    private long clockOffUs;
    private final Map<String, Long> heard = new HashMap<>();
    private final Map<MembershipChange.Type, Integer> changes = new EnumMap<>(MembershipChange.Type.class);

    SimMember(MembersWorld world, MembershipSettings settings) {
        this.world = world;
        this.settings = settings;
        name = settings.name();
        address = settings.address();
    }

    public String name() {
        return name;
    }

    public String address() {
        return address;
    }

    /** The core of its present life. */
    public MembershipProtocol core() {
        return core;
    }

    public boolean isUp() {
        return up;
    }

    MembershipSettings settings() {
        return settings;
    }

    /** When it first held this one, which has ended, for suspect or dead; -1 if it does not. */
    long heardUs(SimMember ended) {
        return heard.getOrDefault(ended.name, -1L);
    }

    /** How often something of this kind was told to its listener. */
    public int count(MembershipChange.Type kind) {
        return changes.getOrDefault(kind, 0);
    }

    /** From its next start on its clock is off by this. */
    public void clockOff(long us) {
        clockOffUs = us;
    }

    // ---------------------------------------------------------------- its life

    /** Starts a new process of this member, with a new incarnation. */
    public void start() {
        life++;
        up = true;
        paused = false;
        kept.clear();
        int of = life;
        // A day into the run, so that a clock may be behind and its time is still one.
        long birthUs = 86_400_000_000L + world.time().nowUs() + clockOffUs;
        world.history().add(name, Kind.STARTED);
        core = new MembershipProtocol(settings, world.random().nextLong(), birthUs, new Actions(of));
        core.start(world.time().nowUs());
        world.viewed(this);
    }

    /** Ends at once, with no word to anybody. */
    public void kill() {
        life++;
        up = false;
        world.history().add(name, Kind.KILLED);
    }

    /** Says that it goes, and goes. */
    public void leave() {
        core.leave();
        life++;
        up = false;
        world.history().add(name, Kind.KILLED, "left", true);
    }

    /** Stands still; when it goes on it believes that no time has passed. */
    public void pause(boolean to) {
        paused = to;
        world.history().add(name, to ? Kind.PAUSED : Kind.RESUMED);
        if (!to) {
            List<Runnable> now = List.copyOf(kept);
            kept.clear();
            now.forEach(Runnable::run);
        }
    }

    private void run(int of, Runnable what) {
        if (of != life || !up) {
            return;
        }
        if (paused) {
            if (kept.size() < MOST_KEPT) {
                kept.add(() -> run(of, what));
            }
            return;
        }
        what.run();
        if (core.isEnded()) {
            up = false;
            world.history().add(name, Kind.KILLED, "gave_way", true);
        }
    }

    // ---------------------------------------------------------------- what it hears

    void deliver(int of, Consumer<MembershipProtocol> event) {
        run(of, () -> event.accept(core));
    }

    int life() {
        return life;
    }

    private final class Actions implements MembershipActions {
        private final int of;

        Actions(int of) {
            this.of = of;
        }

        @Override
        public void send(String to, MembershipMessage message) {
            world.net().count(message);
            world.net().send(name, world.nameAt(to), () -> {
                SimMember target = world.at(to);
                if (target != null) {
                    target.deliver(
                            target.life(), core -> core.onMessage(world.time().nowUs(), message));
                }
            });
        }

        @Override
        public void startStateSync(String to) {
            List<GossipUpdate> mine = core.stateSnapshot();
            world.time().after(world.net().delay(), () -> {
                SimMember target = world.at(to);
                if (target == null
                        || !target.up
                        || target.paused
                        || world.net().isCut(name, target.name)
                        || world.net().isCut(target.name, name)) {
                    return;
                }
                List<GossipUpdate> theirs = target.core.stateSnapshot();
                target.deliver(
                        target.life, core -> core.onStateSync(world.time().nowUs(), mine));
                world.time().after(world.net().delay(), () -> {
                    if (!world.net().isCut(target.name, name)) {
                        deliver(of, core -> core.onStateSync(world.time().nowUs(), theirs));
                    }
                });
            });
        }

        @Override
        public void onChange(MembershipChange change) {
            changes.merge(change.type(), 1, Integer::sum);
            switch (change.type()) {
                case SUSPECTED, FAILED ->
                    heard.putIfAbsent(change.member().name(), world.time().nowUs());
                case REFUTED, JOINED -> heard.remove(change.member().name());
                default -> {}
            }
            world.changed(SimMember.this, change);
        }

        @Override
        public void onRoundTrip(long us) {
            // Its distribution is the network's, which is a model here.
        }

        @Override
        public void scheduleWake(long atUs) {
            if (wake != null) {
                wake.cancel();
            }
            wake = world.time()
                    .at(
                            atUs,
                            () -> run(of, () -> {
                                core.onWake(world.time().nowUs());
                                world.viewed(SimMember.this);
                            }));
        }
    }
}
