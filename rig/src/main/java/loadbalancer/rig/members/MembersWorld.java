package loadbalancer.rig.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;
import loadbalancer.rig.check.Checker;
import loadbalancer.rig.check.Converged;
import loadbalancer.rig.check.Violation;
import loadbalancer.rig.history.Event.Kind;
import loadbalancer.rig.history.History;
import loadbalancer.rig.time.Simulator;

/** A fleet whose members run the membership core over a simulated network. */
public final class MembersWorld {
    private final Simulator time;
    private final SplittableRandom random;
    private final History history;
    private final DatagramNet net;
    private final Map<String, SimMember> byAddress = new LinkedHashMap<>();
    private final List<SimMember> members = new ArrayList<>();
    private final Map<String, Long> digests = new HashMap<>();
    private final Checker converged;
    private final List<Death> deaths = new ArrayList<>();

    /** Somebody was held for dead by somebody. */
    public record Death(long atUs, String by, String who, boolean was) {}

    /** @param withinUs how long after the last fault views may differ */
    public MembersWorld(long seed, long withinUs) {
        time = new Simulator(seed);
        random = time.stream("members");
        net = new DatagramNet(time);
        converged = new Converged(withinUs);
        history = new History(time, List.of(converged), null, false);
    }

    public Simulator time() {
        return time;
    }

    public DatagramNet net() {
        return net;
    }

    History history() {
        return history;
    }

    SplittableRandom random() {
        return random;
    }

    /** So many members, m0 on, the first three of which are seeds; none is started. */
    public MembersWorld with(int count, UnaryOperator<MembershipSettings> tuned) {
        List<String> seeds = List.of("m0:1", "m1:1", "m2:1");
        for (int i = 0; i < count; i++) {
            add(tuned.apply(MembershipSettings.of("m" + i, "m" + i + ":1", "z" + i % 3, "node", seeds)));
        }
        return this;
    }

    /** One more process; it takes the place of whoever had its address. */
    public SimMember add(MembershipSettings settings) {
        SimMember member = new SimMember(this, settings);
        members.add(member);
        byAddress.put(settings.address(), member);
        return member;
    }

    public List<SimMember> members() {
        return members;
    }

    public SimMember member(int number) {
        return members.get(number);
    }

    SimMember at(String address) {
        return byAddress.get(address);
    }

    String nameAt(String address) {
        SimMember there = byAddress.get(address);
        return there == null ? address : there.name();
    }

    /** Starts all, at times spread evenly over so long. */
    public MembersWorld startAll(long overUs) {
        for (int i = 0; i < members.size(); i++) {
            time.at(time.nowUs() + overUs * i / members.size(), members.get(i)::start);
        }
        return this;
    }

    /** A fault of the network: views may differ from now on for as long as they are given. */
    public void fault(String what) {
        history.add("rig", Kind.FAULT, "kind", what);
    }

    void changed(SimMember at, MembershipChange change) {
        if (change.type() == MembershipChange.Type.FAILED) {
            SimMember who = members.stream()
                    .filter(m -> m.name().equals(change.member().name()) && m.isUp())
                    .findFirst()
                    .orElse(null);
            deaths.add(new Death(
                    time.nowUs(),
                    at.name(),
                    change.member().name(),
                    who == null
                            || who.core().self().incarnation().generation()
                                    != change.member().incarnation().generation()));
        }
        viewed(at);
    }

    /** Writes down what a member holds where that has changed. */
    void viewed(SimMember at) {
        if (!at.isUp() || at.core() == null) {
            return;
        }
        long digest = at.core().digest();
        Long before = digests.put(at.name() + "@" + at.address(), digest);
        if (before == null || before != digest) {
            history.add(at.name(), Kind.VIEW, "digest", Long.toHexString(digest));
        }
    }

    /** Who was held for dead, by whom, and whether it was. */
    public List<Death> deaths() {
        return deaths;
    }

    /** Deaths of processes that lived. */
    public long falseDeaths() {
        return deaths.stream().filter(death -> !death.was).count();
    }

    /** Whether all that are up hold just these for live. */
    public boolean agree() {
        if (members.stream()
                        .filter(SimMember::isUp)
                        .mapToLong(m -> m.core().digest())
                        .distinct()
                        .count()
                > 1) {
            return false;
        }
        List<String> up = members.stream()
                .filter(SimMember::isUp)
                .map(SimMember::name)
                .sorted()
                .distinct()
                .toList();
        return !up.isEmpty()
                && members.stream()
                        .filter(SimMember::isUp)
                        .allMatch(member -> member.core().liveMembers().stream()
                                .map(m -> m.name())
                                .toList()
                                .equals(up));
    }

    /** When all agreed, looking every so often up to a time; -1 if they did not. */
    public long agreedAtUs(long everyUs, long untilUs) {
        while (time.nowUs() < untilUs) {
            if (agree()) {
                return time.nowUs();
            }
            time.playUntil(time.nowUs() + everyUs);
        }
        return agree() ? time.nowUs() : -1;
    }

    /** What the referee says once it is over. */
    public List<Violation> end() {
        members.stream().filter(SimMember::isUp).forEach(this::viewed);
        converged.end(time.nowUs());
        return converged.violations();
    }
}
