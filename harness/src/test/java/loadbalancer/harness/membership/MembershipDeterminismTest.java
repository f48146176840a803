package loadbalancer.harness.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.function.UnaryOperator;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;
import org.junit.jupiter.api.Test;

/**
 * Checks that a seed always gives the same result, byte for byte: the datagrams of a fleet, the changes of which its
 * members are notified, and the results of a study. A refactoring that changes the order of random draws, a message or
 * a time fails here.
 */
class MembershipDeterminismTest {
    private static final long PERIOD_US = 1_000_000;

    private static void run(SimulatedFleet fleet, double periods) {
        fleet.run(Math.round(periods * PERIOD_US));
    }

    private static boolean isEven(String name) {
        return Integer.parseInt(name.substring(1)) % 2 == 0;
    }

    /** Returns the number of changes of each type, the time, the numbers of datagrams and bytes, and their checksum. */
    private static String trace(SimulatedFleet fleet) {
        long[] changes = Arrays.stream(MembershipChange.Type.values())
                .mapToLong(type -> fleet.members().stream()
                        .mapToLong(member -> member.count(type))
                        .sum())
                .toArray();
        return Arrays.toString(changes) + " " + fleet.time().nowUs() + " "
                + fleet.network().sentCount() + " " + fleet.network().sentBytes() + " "
                + Long.toHexString(fleet.network().sentChecksum());
    }

    /**
     * The faults are a crash, a restart with a clock that is behind, a partition, a leave, a pause, lost and duplicated
     * datagrams, and a name that is used twice.
     */
    @Test
    void fleetUnderFaultsSendsTheSameDatagrams() {
        SimulatedFleet fleet = new SimulatedFleet(11, Long.MAX_VALUE / 4)
                .withMembers(16, settings -> settings)
                .startAll(PERIOD_US);
        run(fleet, 20);
        fleet.network().setFaults(0.2, 0.1);
        fleet.network().setDelay(500, 50_000);
        fleet.member(7).kill();
        run(fleet, 12);
        fleet.member(7).setClockOffset(-3_600_000_000L);
        fleet.member(7).start();
        run(fleet, 10);
        fleet.network().partition((from, to) -> isEven(from) != isEven(to));
        run(fleet, 50);
        fleet.network().heal();
        run(fleet, 10);
        fleet.member(9).leave();
        fleet.member(4).pause();
        run(fleet, 5);
        fleet.member(4).resume();
        run(fleet, 10);
        fleet.network().setFaults(0, 0);
        fleet.add(MembershipSettings.of("m5", "other:1", "z0", "node", List.of("m0:1")))
                .start();
        run(fleet, 40);
        assertEquals("[412, 14, 617, 474, 143, 15, 0, 1, 1, 0] 157000000 16805 1836139 2164eac9", trace(fleet));
    }

    /** There are more processes than {@code maxMembers} allows, and tombstones are retained for a short time. */
    @Test
    void fullFleetRejectsTheSameMembers() {
        UnaryOperator<MembershipSettings> small = usual -> usual.toBuilder()
                .indirectProbes(2)
                .stateSyncIntervalUs(5 * PERIOD_US)
                .tombstoneRetentionUs(20 * PERIOD_US)
                .maxMembers(8)
                .gossipBudgetBytes(500)
                .build();
        SimulatedFleet fleet =
                new SimulatedFleet(5, Long.MAX_VALUE / 4).withMembers(10, small).startAll(PERIOD_US);
        run(fleet, 20);
        fleet.member(3).kill();
        run(fleet, 15);
        fleet.member(4).leave();
        run(fleet, 60);
        assertEquals("[87, 0, 9, 0, 9, 8, 17, 0, 0, 242] 95000000 2217 168663 a0c536e2", trace(fleet));
    }

    @Test
    void studyGivesTheSameResults() {
        assertEquals(
                "[12, 7, 2.0, 105.82916666666667, 1.227972, 1.959131, 1.0]",
                values(MembershipStudy.measure(12, 7, settings -> settings)));
        assertEquals(
                "[10, 3, 0, 18]", values(MembershipStudy.countFalsePositives(10, 3, 0.05, 60, settings -> settings)));
    }

    /** Returns the values of the components in their order, without names. */
    private static String values(Record result) {
        return result.toString().replaceAll("[A-Za-z]+=|^[A-Za-z]+", "");
    }

    @Test
    void modelCheckReachesTheSameStates() {
        ModelCheck.Result result = ModelCheck.check(3, 4, 1_000_000);
        assertEquals(List.of(682L, 507L), List.of(result.states(), result.ends()));
    }
}
