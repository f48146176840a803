package loadbalancer.harness.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import loadbalancer.harness.check.Checker;
import loadbalancer.harness.check.Converged;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.history.History;
import loadbalancer.harness.time.Simulator;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;

/** A fleet whose members run the membership protocol over a simulated network. */
public final class SimulatedFleet {
    private static final String RANDOM_STREAM = "members";
    private static final List<String> SEEDS = List.of("m0:1", "m1:1", "m2:1");
    private static final int ZONES = 3;

    private final Simulator time;
    private final SplittableRandom random;
    private final History history;
    private final SimulatedNetwork network;
    private final Map<String, SimulatedMember> byAddress = new LinkedHashMap<>();
    private final List<SimulatedMember> members = new ArrayList<>();
    private final Map<String, Long> digests = new HashMap<>();
    private final Checker converged;
    private final List<FailureNotification> failures = new ArrayList<>();

    /**
     * Notification of a member that another one has failed.
     *
     * @param wasDown whether the other one was down; if not, the notification is a false positive
     */
    public record FailureNotification(long atUs, String observer, String member, boolean wasDown) {}

    /**
     * Creates a fleet without members.
     *
     * @param convergeWithinUs how long views may differ after the last fault
     */
    public SimulatedFleet(long seed, long convergeWithinUs) {
        time = new Simulator(seed);
        random = time.stream(RANDOM_STREAM);
        network = new SimulatedNetwork(time);
        converged = new Converged(convergeWithinUs);
        history = new History(time, List.of(converged), null, false);
    }

    public Simulator time() {
        return time;
    }

    public SimulatedNetwork network() {
        return network;
    }

    History history() {
        return history;
    }

    SplittableRandom random() {
        return random;
    }

    // ---------------------------------------------------------------- members

    /**
     * Adds members m0, m1 and so on without starting them. The first three are the seeds.
     *
     * @param adapt changes the settings of each member
     */
    public SimulatedFleet withMembers(int count, UnaryOperator<MembershipSettings> adapt) {
        for (int i = 0; i < count; i++) {
            add(adapt.apply(MembershipSettings.of("m" + i, "m" + i + ":1", "z" + i % ZONES, "node", SEEDS)));
        }
        return this;
    }

    /** Adds one member without starting it. It replaces a previous member at the same address. */
    public SimulatedMember add(MembershipSettings settings) {
        SimulatedMember member = new SimulatedMember(this, settings);
        members.add(member);
        byAddress.put(settings.address(), member);
        return member;
    }

    /** Starts all members, at times spread evenly over the duration. */
    public SimulatedFleet startAll(long durationUs) {
        for (int i = 0; i < members.size(); i++) {
            time.at(time.nowUs() + durationUs * i / members.size(), members.get(i)::start);
        }
        return this;
    }

    public List<SimulatedMember> members() {
        return members;
    }

    public SimulatedMember member(int number) {
        return members.get(number);
    }

    SimulatedMember memberAt(String address) {
        return byAddress.get(address);
    }

    String nameAt(String address) {
        SimulatedMember member = byAddress.get(address);
        return member == null ? address : member.name();
    }

    private List<SimulatedMember> membersUp() {
        return members.stream().filter(SimulatedMember::isUp).toList();
    }

    // ---------------------------------------------------------------- events

    /** Runs the fleet for a duration. */
    public void run(long durationUs) {
        time.runUntil(time.nowUs() + durationUs);
    }

    /** Records that a fault of the network has begun or ended, after which views may differ for a while. */
    public void recordFault(String kind) {
        history.add("rig", Kind.FAULT, "kind", kind);
    }

    void onChange(SimulatedMember observer, MembershipChange change) {
        if (change.type() == MembershipChange.Type.FAILED) {
            Member failed = change.member();
            failures.add(new FailureNotification(time.nowUs(), observer.name(), failed.name(), !isRunning(failed)));
        }
        recordView(observer);
    }

    /** Whether the process of this generation is running. */
    private boolean isRunning(Member known) {
        return membersUp().stream()
                .filter(member -> member.name().equals(known.name()))
                .findFirst()
                .map(member -> member.protocol().self().incarnation().generation()
                        == known.incarnation().generation())
                .orElse(false);
    }

    /** Records the digest of a member's view if it has changed. */
    void recordView(SimulatedMember observer) {
        if (!observer.isUp() || observer.protocol() == null) {
            return;
        }
        long digest = observer.protocol().digest();
        Long before = digests.put(observer.name() + "@" + observer.address(), digest);
        if (before == null || before != digest) {
            history.add(observer.name(), Kind.VIEW, "digest", Long.toHexString(digest));
        }
    }

    // ---------------------------------------------------------------- results

    /** Returns all notifications of failures. */
    public List<FailureNotification> failures() {
        return failures;
    }

    /** Returns the number of notifications of failures of running members. */
    public long falseFailures() {
        return failures.stream().filter(failure -> !failure.wasDown).count();
    }

    /** Whether the live members of each running member are exactly the running members. */
    public boolean isConverged() {
        List<SimulatedMember> up = membersUp();
        long views = up.stream()
                .mapToLong(member -> member.protocol().digest())
                .distinct()
                .count();
        if (views != 1) {
            return false;
        }
        List<String> names =
                up.stream().map(SimulatedMember::name).sorted().distinct().toList();
        return up.stream().allMatch(member -> liveNames(member).equals(names));
    }

    private static List<String> liveNames(SimulatedMember member) {
        return member.protocol().liveMembers().stream().map(Member::name).toList();
    }

    /**
     * Runs the fleet until it has converged, and returns the time of that, or -1 if it does not converge in time.
     *
     * @param everyUs interval of the checks for convergence
     */
    public long convergedAtUs(long everyUs, long untilUs) {
        while (time.nowUs() < untilUs) {
            if (isConverged()) {
                return time.nowUs();
            }
            run(everyUs);
        }
        return isConverged() ? time.nowUs() : -1;
    }

    /** Ends the run and returns the violations of convergence. */
    public List<Violation> end() {
        membersUp().forEach(this::recordView);
        converged.end(time.nowUs());
        return converged.violations();
    }
}
