package loadbalancer.harness.membership;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.time.Timeline.Timer;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.MembershipActions;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipMessage;
import loadbalancer.membership.core.MembershipProtocol;
import loadbalancer.membership.core.MembershipSettings;

/**
 * One member of a simulated fleet, which runs the same protocol code as the program. It can be restarted after its end;
 * events of an earlier process do not reach a later one.
 */
public final class SimulatedMember {
    /**
     * Maximum number of events that are kept for a paused process. Further ones are lost, as in a full socket buffer.
     */
    private static final int MAX_BUFFERED_EVENTS = 200;
    /** Unix time of the start of the run; above 0, so that a clock may be behind. */
    private static final long CLOCK_START_US = 86_400_000_000L;

    private static final long NEVER = -1;

    private final SimulatedFleet fleet;
    private final String name;
    private final String address;
    private final MembershipSettings settings;
    private MembershipProtocol protocol;
    private boolean up;
    private boolean paused;
    private final List<Runnable> bufferedEvents = new ArrayList<>();
    private Timer wake;
    /** Identifies the current process: the number of starts and ends so far. */
    private int processNumber;

    private long clockOffsetUs;
    private final Map<String, Long> suspectedSinceUs = new HashMap<>();
    private final Map<MembershipChange.Type, Integer> changes = new EnumMap<>(MembershipChange.Type.class);

    SimulatedMember(SimulatedFleet fleet, MembershipSettings settings) {
        this.fleet = fleet;
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

    /**
     * Returns the protocol of the current process, or of the last one if there is none; null before the first start.
     */
    public MembershipProtocol protocol() {
        return protocol;
    }

    public boolean isUp() {
        return up;
    }

    MembershipSettings settings() {
        return settings;
    }

    /** Returns the time since which it has considered a member suspect or dead, or -1 if it does not. */
    long suspectedSinceUs(SimulatedMember member) {
        return suspectedSinceUs.getOrDefault(member.name, NEVER);
    }

    boolean suspects(SimulatedMember member) {
        return suspectedSinceUs(member) != NEVER;
    }

    /** Returns the number of changes of this type of which its listener was notified. */
    public int count(MembershipChange.Type type) {
        return changes.getOrDefault(type, 0);
    }

    /** Sets the offset of its clock, which applies from the next start. */
    public void setClockOffset(long offsetUs) {
        clockOffsetUs = offsetUs;
    }

    // ---------------------------------------------------------------- lifecycle

    /** Starts a new process of this member, with a new incarnation. */
    public void start() {
        processNumber++;
        up = true;
        paused = false;
        bufferedEvents.clear();
        long startedAtUs = CLOCK_START_US + nowUs() + clockOffsetUs;
        fleet.history().add(name, Kind.STARTED);
        protocol = new MembershipProtocol(settings, fleet.random().nextLong(), startedAtUs, new Actions(processNumber));
        protocol.start(nowUs());
        fleet.recordView(this);
    }

    /** Ends the process without a leave message. */
    public void kill() {
        processNumber++;
        up = false;
        fleet.history().add(name, Kind.KILLED);
    }

    /** Leaves the fleet and ends the process. */
    public void leave() {
        protocol.leave();
        processNumber++;
        up = false;
        fleet.history().add(name, Kind.KILLED, "left", true);
    }

    /** Pauses the process; events are buffered until it resumes. */
    public void pause() {
        paused = true;
        fleet.history().add(name, Kind.PAUSED);
    }

    /** Resumes the process, which then handles the buffered events. */
    public void resume() {
        paused = false;
        fleet.history().add(name, Kind.RESUMED);
        List<Runnable> buffered = List.copyOf(bufferedEvents);
        bufferedEvents.clear();
        buffered.forEach(Runnable::run);
    }

    // ---------------------------------------------------------------- events

    private long nowUs() {
        return fleet.time().nowUs();
    }

    private void handle(int process, Consumer<MembershipProtocol> event) {
        if (process != processNumber || !up) {
            return;
        }
        if (paused) {
            if (bufferedEvents.size() < MAX_BUFFERED_EVENTS) {
                bufferedEvents.add(() -> handle(process, event));
            }
            return;
        }
        event.accept(protocol);
        if (protocol.isEnded()) {
            up = false;
            fleet.history().add(name, Kind.KILLED, "gave_way", true);
        }
    }

    private void receive(MembershipMessage message) {
        handle(processNumber, receiver -> receiver.onMessage(nowUs(), message));
    }

    /** Performs the actions of the protocol of one process. */
    private final class Actions implements MembershipActions {
        private final int process;

        Actions(int process) {
            this.process = process;
        }

        @Override
        public void send(String target, MembershipMessage message) {
            fleet.network().send(name, fleet.nameAt(target), message, () -> {
                SimulatedMember receiver = fleet.memberAt(target);
                if (receiver != null) {
                    receiver.receive(message);
                }
            });
        }

        @Override
        public void startStateSync(String target) {
            List<GossipUpdate> pushed = protocol.stateSnapshot();
            fleet.time().after(fleet.network().nextDelayUs(), () -> {
                SimulatedMember peer = fleet.memberAt(target);
                if (peer != null && peer.up && !peer.paused && isConnected(peer)) {
                    syncWith(peer, pushed);
                }
            });
        }

        private boolean isConnected(SimulatedMember peer) {
            return !fleet.network().isCut(name, peer.name) && !fleet.network().isCut(peer.name, name);
        }

        private void syncWith(SimulatedMember peer, List<GossipUpdate> pushed) {
            List<GossipUpdate> pulled = peer.protocol.stateSnapshot();
            peer.handle(peer.processNumber, responder -> responder.onStateSync(nowUs(), pushed));
            fleet.time().after(fleet.network().nextDelayUs(), () -> {
                if (!fleet.network().isCut(peer.name, name)) {
                    handle(process, initiator -> initiator.onStateSync(nowUs(), pulled));
                }
            });
        }

        @Override
        public void onChange(MembershipChange change) {
            changes.merge(change.type(), 1, Integer::sum);
            switch (change.type()) {
                case SUSPECTED, FAILED ->
                    suspectedSinceUs.putIfAbsent(change.member().name(), nowUs());
                case REFUTED, JOINED -> suspectedSinceUs.remove(change.member().name());
                default -> {}
            }
            fleet.onChange(SimulatedMember.this, change);
        }

        @Override
        public void onRoundTrip(long roundTripUs) {
            // The delay of the network is simulated, so that its distribution is of no interest.
        }

        @Override
        public void scheduleWake(long atUs) {
            if (wake != null) {
                wake.cancel();
            }
            wake = fleet.time()
                    .at(
                            atUs,
                            () -> handle(process, woken -> {
                                woken.onWake(nowUs());
                                fleet.recordView(SimulatedMember.this);
                            }));
        }
    }
}
