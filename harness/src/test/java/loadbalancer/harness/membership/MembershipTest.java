package loadbalancer.harness.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;
import org.junit.jupiter.api.Test;

/**
 * Failures of processes and of the network in simulated time, with several seeds. After each scenario the live members
 * of each running member must be exactly the running members.
 */
class MembershipTest {
    private static final long PERIOD_US = 1_000_000;
    private static final int SETTLE_PERIODS = 20;
    /** A larger number makes a longer search for failures, as does a larger number of joining members. */
    private static final int SEEDS = Integer.getInteger("loadbalancer.seeds", 5);

    private static final int JOINING = Integer.getInteger("loadbalancer.joining", 200);

    /** Whether running members may be considered dead during a scenario. */
    private enum FalseFailures {
        ALLOWED,
        NONE
    }

    private static void run(SimulatedFleet fleet, double periods) {
        fleet.run(Math.round(periods * PERIOD_US));
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static boolean isEven(String name) {
        return number(name) % 2 == 0;
    }

    private static MembershipSettings seededBy(String seed, String name, String address) {
        return MembershipSettings.of(name, address, "z0", "node", List.of(seed));
    }

    private static SimulatedFleet settledFleet(long seed, int members, int convergePeriods) {
        SimulatedFleet fleet = new SimulatedFleet(seed, convergePeriods * PERIOD_US)
                .withMembers(members, settings -> settings)
                .startAll(PERIOD_US);
        run(fleet, SETTLE_PERIODS);
        assertTrue(fleet.isConverged(), "not converged at the start, seed " + seed);
        return fleet;
    }

    /** Runs a scenario with each seed, and checks that the fleet converges within a number of periods after it. */
    private static void assertConverges(
            int members, int convergePeriods, FalseFailures allowed, Consumer<SimulatedFleet> scenario) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedFleet fleet = settledFleet(seed, members, convergePeriods);
            scenario.accept(fleet);
            long endUs = fleet.time().nowUs() + convergePeriods * PERIOD_US;
            long convergedAtUs = fleet.convergedAtUs(PERIOD_US / 2, endUs);
            assertTrue(convergedAtUs >= 0, "not converged, seed " + seed);
            run(fleet, convergePeriods + 1);
            assertEquals(List.of(), fleet.end(), "seed " + seed);
            assertTrue(
                    allowed == FalseFailures.ALLOWED || fleet.falseFailures() == 0,
                    "considered dead while running, seed " + seed + ": " + fleet.failures());
        }
    }

    /** Ends a partition. From now on views may differ only for the time in which they have to converge. */
    private static void heal(SimulatedFleet fleet) {
        fleet.network().heal();
        fleet.recordFault("healed");
    }

    // ---------------------------------------------------------------- processes

    @Test
    void viewsStayTheSameWhileNothingHappens() {
        assertConverges(30, 10, FalseFailures.NONE, fleet -> run(fleet, 30));
    }

    /** A process crashes. The others detect it, and consider no other member dead. */
    @Test
    void crashIsDetected() {
        assertConverges(30, 30, FalseFailures.NONE, fleet -> fleet.member(7).kill());
    }

    /** A process announces that it leaves. The others record it as left, not as dead. */
    @Test
    void leaveIsNoFailure() {
        assertConverges(30, 10, FalseFailures.NONE, fleet -> {
            fleet.member(7).leave();
            run(fleet, 10);
            assertEquals(1, fleet.member(3).count(MembershipChange.Type.LEFT));
            assertEquals(List.of(), fleet.failures());
        });
    }

    /** A process is paused for less than the suspicion timeout. It refutes the suspicion when it resumes. */
    @Test
    void pauseOfThreeSecondsIsRefuted() {
        assertConverges(30, 15, FalseFailures.NONE, fleet -> {
            fleet.member(4).pause();
            run(fleet, 3);
            fleet.member(4).resume();
        });
    }

    /** A process is paused for so long that the others consider it dead. It is live again when it resumes. */
    @Test
    void memberRejoinsAfterAPauseOfAMinute() {
        assertConverges(30, 15, FalseFailures.ALLOWED, fleet -> {
            fleet.member(4).pause();
            run(fleet, 60);
            fleet.member(4).resume();
        });
    }

    /**
     * A process receives nothing from half of the fleet and suspects these members. Then it is paused beyond their
     * suspicion timeouts. When it resumes it must not consider them dead, because it could not receive their
     * refutations. Its own messages arrive all the time, so that no member considers it dead either.
     */
    @Test
    void suspicionsArePostponedByAPause() {
        assertConverges(12, 15, FalseFailures.NONE, fleet -> {
            fleet.network().partition((from, to) -> to.equals("m4") && isEven(from));
            run(fleet, 4);
            fleet.network().heal();
            fleet.member(4).pause();
            run(fleet, 3);
            fleet.member(4).resume();
            fleet.recordFault("healed");
        });
    }

    /** All processes crash, and all except the seeds restart. They find each other once a seed has restarted. */
    @Test
    void fleetThatRestartsWithoutSeedsWaitsForOne() {
        assertConverges(10, 40, FalseFailures.ALLOWED, fleet -> {
            fleet.members().forEach(SimulatedMember::kill);
            run(fleet, 2);
            fleet.members().subList(3, 10).forEach(SimulatedMember::start);
            run(fleet, 20);
            fleet.member(0).start();
        });
    }

    /** Each process in turn leaves and restarts immediately, as in an upgrade of the fleet. */
    @Test
    void rollingRestartIsNoFailure() {
        assertConverges(30, 30, FalseFailures.NONE, fleet -> {
            for (SimulatedMember member : fleet.members()) {
                member.leave();
                run(fleet, 0.5);
                member.start();
                run(fleet, 0.5);
            }
        });
    }

    /** A process crashes and restarts before any other member detects the crash. */
    @Test
    void restartAtOnceIsAnUpdate() {
        assertConverges(12, 15, FalseFailures.NONE, fleet -> {
            fleet.member(5).kill();
            fleet.member(5).start();
        });
    }

    /**
     * A process crashes and restarts with a clock that is an hour behind. Its new generation is lower than the one that
     * the others have recorded, so that they would ignore its announcements. It detects this and raises its generation.
     */
    @Test
    void restartWithAClockBehindIsAccepted() {
        assertConverges(12, 30, FalseFailures.NONE, fleet -> {
            fleet.member(5).kill();
            run(fleet, 1);
            fleet.member(5).setClockOffset(-3_600_000_000L);
            fleet.member(5).start();
        });
    }

    /** A process crashes, and one with another name starts at its address. The old name must not stay alive. */
    @Test
    void anotherNameAtTheSameAddressReplacesTheOldName() {
        assertConverges(12, 40, FalseFailures.NONE, fleet -> {
            fleet.member(5).kill();
            fleet.add(seededBy("m0:1", "m99", "m5:1")).start();
        });
    }

    /** A process crashes and restarts at another address. The others have to use the new one. */
    @Test
    void sameNameAtAnotherAddressAfterACrashConverges() {
        assertConverges(12, 40, FalseFailures.NONE, fleet -> {
            fleet.member(5).kill();
            run(fleet, 2);
            fleet.add(seededBy("m0:1", "m5", "other:1")).start();
        });
    }

    /** A second process starts with the name of a running member. The one that started first yields the name. */
    @Test
    void earlierProcessYieldsItsNameToTheLaterOne() {
        assertConverges(12, 20, FalseFailures.ALLOWED, fleet -> {
            SimulatedMember twin = fleet.add(seededBy("m0:1", "m5", "other:1"));
            twin.start();
            run(fleet, 15);
            assertTrue(twin.isUp(), "the one that started later keeps the name");
            assertFalse(fleet.member(5).isUp(), "the one that started first yields the name");
            assertEquals(1, fleet.member(5).count(MembershipChange.Type.NAME_YIELDED));
        });
    }

    /** A whole fleet starts within a second. */
    @Test
    void hundredsJoinWithinASecond() {
        SimulatedFleet fleet = new SimulatedFleet(1, 30 * PERIOD_US)
                .withMembers(JOINING, settings -> settings)
                .startAll(PERIOD_US);
        run(fleet, 1);
        long up = fleet.members().stream().filter(SimulatedMember::isUp).count();
        assertEquals(JOINING, up);
        assertTrue(fleet.convergedAtUs(PERIOD_US, 30 * PERIOD_US) >= 0);
        assertEquals(0, fleet.falseFailures());
    }

    // ---------------------------------------------------------------- network

    /** The network is partitioned into halves, which consider each other dead. They rejoin once it is healed. */
    @Test
    void halvesConvergeAfterAPartition() {
        assertConverges(20, 15, FalseFailures.ALLOWED, fleet -> {
            fleet.network().partition((from, to) -> isEven(from) != isEven(to));
            run(fleet, 60);
            heal(fleet);
        });
    }

    /** The network is partitioned into thirds, which rejoin once it is healed. */
    @Test
    void thirdsConvergeAfterAPartition() {
        assertConverges(21, 15, FalseFailures.ALLOWED, fleet -> {
            fleet.network().partition((from, to) -> number(from) % 3 != number(to) % 3);
            run(fleet, 60);
            heal(fleet);
        });
    }

    /** A member can send but receives nothing. It considers all others dead, and they consider it dead. */
    @Test
    void memberThatReceivedNothingRejoins() {
        assertConverges(12, 15, FalseFailures.ALLOWED, fleet -> {
            fleet.network().partition((from, to) -> to.equals("m5"));
            run(fleet, 40);
            heal(fleet);
        });
    }

    /** The network is partitioned into halves, and one member reaches both. */
    @Test
    void fleetConvergesAfterAPartitionWithABridge() {
        assertConverges(13, 15, FalseFailures.ALLOWED, fleet -> {
            fleet.network()
                    .partition((from, to) -> !from.equals("m12") && !to.equals("m12") && isEven(from) != isEven(to));
            run(fleet, 40);
            heal(fleet);
        });
    }

    /** The link between two members fails and returns every 300 ms. Indirect pings keep both alive. */
    @Test
    void flappingLinkIsNoFailure() {
        assertConverges(12, 15, FalseFailures.NONE, fleet -> {
            for (int i = 0; i < 100; i++) {
                boolean isDown = i % 2 == 0;
                fleet.network()
                        .partition((from, to) -> isDown
                                && (from.equals("m3") && to.equals("m4") || from.equals("m4") && to.equals("m3")));
                run(fleet, 0.3);
            }
            heal(fleet);
        });
    }

    /** For a minute, three in ten datagrams are lost, one in ten is duplicated, and datagrams are reordered. */
    @Test
    void lossyNetworkIsNoFailure() {
        assertConverges(20, 20, FalseFailures.NONE, fleet -> {
            fleet.network().setFaults(0.3, 0.1);
            fleet.network().setDelay(500, 50_000);
            run(fleet, 60);
            fleet.network().setFaults(0, 0);
            fleet.recordFault("healed");
        });
    }

    /**
     * Shows that the checks can fail: a member whose messages never arrive cannot refute a suspicion, and is considered
     * dead although it is running.
     */
    @Test
    void memberWhoseMessagesNeverArriveIsFalselyConsideredDead() {
        SimulatedFleet fleet = settledFleet(1, 12, 10);
        fleet.network().partition((from, to) -> from.equals("m5"));
        run(fleet, 60);
        assertTrue(
                fleet.failures().stream().anyMatch(failure -> failure.member().equals("m5") && !failure.wasDown()));
        assertFalse(fleet.isConverged());
    }
}
