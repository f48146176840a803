package loadbalancer.harness.membership;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;

/**
 * Measures the membership protocol in simulated time: its network load, the times of detection and convergence, and
 * false positives.
 */
public final class MembershipStudy {
    private static final String RANDOM_STREAM = "study";
    /** Time from the start of a fleet until views have converged and gossip has ended. */
    private static final int SETTLE_PERIODS = 60;

    /** Duration of the measurement of the load. */
    private static final int LOAD_PERIODS = 60;
    /** How long a measurement waits for detection or convergence. */
    private static final int MAX_PERIODS = 200;
    /** Duration of the partition. */
    private static final int PARTITION_PERIODS = 60;
    /**
     * How often per period the fleet is examined. Times of detection do not depend on it, because members record them
     * to the microsecond.
     */
    private static final int STEPS_PER_PERIOD = 4;

    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NEVER_US = Long.MAX_VALUE / 4;
    private static final double DID_NOT_HAPPEN = -1;
    /** Number of members that are paused, at random, while false positives are counted. */
    private static final int PAUSED_MEMBERS = 3;

    private final SimulatedFleet fleet;
    private final int members;
    private final long seed;
    private final long periodUs;
    private final SplittableRandom random;

    private MembershipStudy(int members, long seed, UnaryOperator<MembershipSettings> adapt) {
        this.members = members;
        this.seed = seed;
        fleet = new SimulatedFleet(seed, NEVER_US).withMembers(members, adapt);
        periodUs = fleet.member(0).settings().probePeriodUs();
        random = fleet.time().stream(RANDOM_STREAM);
    }

    /**
     * Results of one fleet. Times are in probe periods, or -1 for what did not happen within {@link #MAX_PERIODS}.
     *
     * @param datagramsPerSecond mean number of datagrams that a member sends while there are no faults
     * @param bytesPerSecond mean number of bytes in these datagrams
     * @param firstDetection from a crash until the first member suspected the crashed one
     * @param fullDetection from a crash until all members considered the crashed one suspect or dead
     * @param convergence from the end of a partition into halves until all views were equal
     */
    public record Result(
            int members,
            long seed,
            double datagramsPerSecond,
            double bytesPerSecond,
            double firstDetection,
            double fullDetection,
            double convergence) {}

    /**
     * False positives: members that were running but were considered suspect or dead.
     *
     * @param failures number of notifications of a failure
     * @param suspicions number of notifications of a suspicion
     */
    public record FalsePositives(int members, long seed, long failures, long suspicions) {}

    private record Load(double datagramsPerSecond, double bytesPerSecond) {}

    private record Detection(double first, double full) {}

    /**
     * Measures one fleet.
     *
     * @param adapt changes the settings of each member
     * @throws IllegalStateException if the fleet does not converge in the absence of faults
     */
    public static Result measure(int members, long seed, UnaryOperator<MembershipSettings> adapt) {
        MembershipStudy study = new MembershipStudy(members, seed, adapt);
        study.settle();
        Load load = study.measureLoad();
        Detection detection = study.measureDetection();
        double convergence = study.measureConvergence();
        return new Result(
                members,
                seed,
                load.datagramsPerSecond,
                load.bytesPerSecond,
                detection.first,
                detection.full,
                convergence);
    }

    private void settle() {
        fleet.startAll(periodUs);
        if (fleet.convergedAtUs(periodUs, SETTLE_PERIODS * periodUs) < 0) {
            throw new IllegalStateException(members + " members did not converge, seed " + seed);
        }
        fleet.run(SETTLE_PERIODS * periodUs + random.nextLong(periodUs));
    }

    private Load measureLoad() {
        long datagramsBefore = fleet.network().sentCount();
        long bytesBefore = fleet.network().sentBytes();
        fleet.run(LOAD_PERIODS * periodUs);
        double perMemberAndSecond = MICROS_PER_SECOND / (LOAD_PERIODS * periodUs) / members;
        return new Load(
                (fleet.network().sentCount() - datagramsBefore) * perMemberAndSecond,
                (fleet.network().sentBytes() - bytesBefore) * perMemberAndSecond);
    }

    private Detection measureDetection() {
        SimulatedMember victim = fleet.member(random.nextInt(members));
        long killedAtUs = fleet.time().nowUs();
        victim.kill();
        List<SimulatedMember> observers =
                fleet.members().stream().filter(SimulatedMember::isUp).toList();
        for (int i = 0; i < STEPS_PER_PERIOD * MAX_PERIODS && !allSuspect(observers, victim); i++) {
            fleet.run(periodUs / STEPS_PER_PERIOD);
        }
        double first = observers.stream()
                .filter(observer -> observer.suspects(victim))
                .mapToDouble(observer -> periodsSince(killedAtUs, observer.suspectedSinceUs(victim)))
                .min()
                .orElse(DID_NOT_HAPPEN);
        if (!allSuspect(observers, victim)) {
            return new Detection(first, DID_NOT_HAPPEN);
        }
        double full = observers.stream()
                .mapToDouble(observer -> periodsSince(killedAtUs, observer.suspectedSinceUs(victim)))
                .max()
                .orElseThrow();
        return new Detection(first, full);
    }

    private static boolean allSuspect(List<SimulatedMember> observers, SimulatedMember victim) {
        return observers.stream().allMatch(observer -> observer.suspects(victim));
    }

    private double periodsSince(long fromUs, long untilUs) {
        return (double) (untilUs - fromUs) / periodUs;
    }

    private double measureConvergence() {
        fleet.network().partition((from, to) -> isEven(from) != isEven(to));
        fleet.run(PARTITION_PERIODS * periodUs);
        fleet.network().heal();
        long healedAtUs = fleet.time().nowUs();
        long convergedAtUs = fleet.convergedAtUs(periodUs / STEPS_PER_PERIOD, healedAtUs + MAX_PERIODS * periodUs);
        return convergedAtUs < 0 ? DID_NOT_HAPPEN : periodsSince(healedAtUs, convergedAtUs);
    }

    private static boolean isEven(String name) {
        return Integer.parseInt(name.substring(1)) % 2 == 0;
    }

    /**
     * Counts false positives. A share of datagrams is lost, and three members are paused repeatedly, each time for less
     * than the suspicion timeout.
     */
    public static FalsePositives countFalsePositives(
            int members, long seed, double lossShare, int seconds, UnaryOperator<MembershipSettings> adapt) {
        return new MembershipStudy(members, seed, adapt).countFalsePositives(lossShare, seconds);
    }

    private FalsePositives countFalsePositives(double lossShare, int seconds) {
        fleet.startAll(periodUs);
        fleet.run(SETTLE_PERIODS * periodUs);
        long suspicionsBefore = suspicions();
        fleet.network().setFaults(lossShare, 0);
        long endUs = fleet.time().nowUs() + seconds * (long) MICROS_PER_SECOND;
        while (fleet.time().nowUs() < endUs) {
            SimulatedMember paused = fleet.member(random.nextInt(Math.min(PAUSED_MEMBERS, members)));
            paused.pause();
            fleet.run(periodUs + random.nextLong(2 * periodUs));
            paused.resume();
            fleet.run(10 * periodUs + random.nextLong(20 * periodUs));
        }
        return new FalsePositives(members, seed, fleet.falseFailures(), suspicions() - suspicionsBefore);
    }

    private long suspicions() {
        return fleet.members().stream()
                .mapToLong(member -> member.count(MembershipChange.Type.SUSPECTED))
                .sum();
    }
}
