package loadbalancer.harness.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
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
 * One process of a model check. It has its own clock, whose speed relative to the others results from the order of
 * events. After each event it checks that no record was replaced by an older one.
 */
final class ModelCheckProcess implements MembershipActions {
    private static final long STARTED_AT_US = 1_000_000_000L;
    private static final String SEED_ADDRESS = "p0:1";
    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

    private final int number;
    private final ModelCheckFleet fleet;
    private final MembershipProtocol protocol;
    /** Hash of the sequence of events so far. */
    private long eventsHash = 1;

    private boolean up = true;
    private long nowUs;
    private long wakeAtUs;
    /** Record of each name before the current event. */
    private final Map<String, Member> recordsBefore = new HashMap<>();
    /** Incarnations of the members that have left, by name. */
    private final Map<String, Incarnation> leftMembers = new HashMap<>();

    private boolean handling;
    /** Actions that were requested during an event and are performed after it. */
    private final List<Runnable> afterEvent = new ArrayList<>();

    ModelCheckProcess(int number, ModelCheckFleet fleet) {
        this.number = number;
        this.fleet = fleet;
        protocol = new MembershipProtocol(settings(), number + 1, STARTED_AT_US + number, this);
        protocol.start(0);
    }

    /** Few probes and short timeouts, so that the depth covers more of the protocol. */
    private MembershipSettings settings() {
        return MembershipSettings.builder("p" + number, address(), "z", "node", List.of(SEED_ADDRESS))
                .indirectProbes(1)
                .suspicionPeriods(1)
                .maxSuspicionFactor(1)
                .suspicionConfirmations(0)
                .maxLocalHealth(1)
                .retransmitFactor(2)
                .build();
    }

    int number() {
        return number;
    }

    private String address() {
        return "p" + number + ":1";
    }

    MembershipProtocol protocol() {
        return protocol;
    }

    List<GossipUpdate> stateSnapshot() {
        return protocol.stateSnapshot();
    }

    boolean isUp() {
        return up;
    }

    boolean isUpAt(String address) {
        return up && address().equals(address);
    }

    long wakeAtUs() {
        return wakeAtUs;
    }

    long eventsHash() {
        return eventsHash;
    }

    // ---------------------------------------------------------------- events

    void wake() {
        if (up) {
            nowUs = Math.max(nowUs, wakeAtUs);
            handle("wake " + nowUs, woken -> woken.onWake(nowUs));
        }
    }

    void receive(MembershipMessage message) {
        handle(message.toString(), receiver -> receiver.onMessage(nowUs, message));
    }

    void receiveState(String description, List<GossipUpdate> state) {
        handle(description, receiver -> receiver.onStateSync(nowUs, state));
    }

    void crash() {
        up = false;
    }

    void leave() {
        if (up) {
            handle("leave", MembershipProtocol::leave);
            up = false;
        }
    }

    private void handle(String description, Consumer<MembershipProtocol> event) {
        if (handling) {
            afterEvent.add(() -> handle(description, event));
            return;
        }
        handling = true;
        eventsHash = eventsHash * HASH_FACTOR + description.hashCode();
        event.accept(protocol);
        handling = false;
        checkRecords();
        while (!afterEvent.isEmpty()) {
            afterEvent.remove(0).run();
        }
    }

    // ---------------------------------------------------------------- checks

    /** Checks that no record of a name was replaced by an older one, and that a member that has left remains so. */
    private void checkRecords() {
        Map<String, Member> records = new TreeMap<>();
        stateSnapshot().stream()
                .skip(1)
                .forEach(update -> records.put(update.member().name(), update.member()));
        records.values().forEach(this::checkLeft);
        records.forEach((name, member) -> checkOrder(recordsBefore.get(name), member));
        recordsBefore.clear();
        recordsBefore.putAll(records);
    }

    private void checkLeft(Member member) {
        if (member.state() == MemberState.LEFT) {
            leftMembers.put(member.name(), member.incarnation());
        } else if (member.incarnation().equals(leftMembers.get(member.name()))) {
            fleet.addViolation("process " + number + " no longer holds that " + member.name() + " has left");
        }
    }

    private void checkOrder(Member before, Member now) {
        if (before == null) {
            return;
        }
        int order = now.incarnation().compareTo(before.incarnation());
        if (order < 0 || order == 0 && now.state().compareTo(before.state()) < 0) {
            fleet.addViolation("process " + number + " replaced " + before + " by older " + now);
        }
    }

    // ---------------------------------------------------------------- actions of the protocol

    @Override
    public void send(String address, MembershipMessage message) {
        fleet.send(number, address, message);
    }

    @Override
    public void startStateSync(String address) {
        afterEvent.add(() -> fleet.syncState(this, address));
    }

    @Override
    public void onChange(MembershipChange change) {
        // Records are checked after each event.
    }

    @Override
    public void onRoundTrip(long roundTripUs) {
        // A round trip is measured with unrelated clocks here, and means nothing.
    }

    @Override
    public void scheduleWake(long atUs) {
        wakeAtUs = atUs;
    }
}
