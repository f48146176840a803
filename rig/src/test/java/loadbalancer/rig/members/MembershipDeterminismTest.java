package loadbalancer.rig.members;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import java.util.function.UnaryOperator;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;
import org.junit.jupiter.api.Test;

/**
 * What a seed comes to, to the byte: every datagram of a fleet, every change that its members were notified of,
 * and the results of a study. A refactoring that changes the order of random draws, a message or a time fails here.
 */
class MembershipDeterminismTest {
    private static final long PERIOD = 1_000_000;

    private static void pass(MembersWorld world, double periods) {
        world.time().playUntil(world.time().nowUs() + Math.round(periods * PERIOD));
    }

    private static boolean isEven(String name) {
        return Integer.parseInt(name.substring(1)) % 2 == 0;
    }

    /** Changes of each kind in the order of the kinds, the time, then datagrams, bytes and their checksum. */
    private static String trace(MembersWorld world) {
        long[] changes = Arrays.stream(MembershipChange.Type.values())
                .mapToLong(kind -> world.members().stream()
                        .mapToLong(member -> member.count(kind))
                        .sum())
                .toArray();
        return Arrays.toString(changes) + " " + world.time().nowUs() + " "
                + world.net().sent() + " " + world.net().sentBytes() + " "
                + Long.toHexString(world.net().sentChecksum());
    }

    /** Crash, restart with a late clock, a cut, a leave, a pause, lost and repeated datagrams, a name used twice. */
    @Test
    void aFleetInTroubleSendsTheSameDatagrams() {
        MembersWorld world = new MembersWorld(11, Long.MAX_VALUE / 4)
                .with(16, settings -> settings)
                .startAll(PERIOD);
        pass(world, 20);
        world.net().harm(0.2, 0.1);
        world.net().delay(500, 50_000);
        world.member(7).kill();
        pass(world, 12);
        world.member(7).clockOff(-3_600_000_000L);
        world.member(7).start();
        pass(world, 10);
        world.net().cut((from, to) -> isEven(from) != isEven(to));
        pass(world, 50);
        world.net().heal();
        pass(world, 10);
        world.member(9).leave();
        world.member(4).pause(true);
        pass(world, 5);
        world.member(4).pause(false);
        pass(world, 10);
        world.net().harm(0, 0);
        world.add(MembershipSettings.of("m5", "other:1", "z0", "node", List.of("m0:1")))
                .start();
        pass(world, 40);
        assertEquals("[412, 14, 617, 474, 143, 15, 0, 1, 1, 0] 157000000 16805 1836139 2164eac9", trace(world));
    }

    /** More processes than places, and little time for which those that ended are remembered. */
    @Test
    void aFleetThatIsFullTurnsTheSameMembersAway() {
        UnaryOperator<MembershipSettings> small = usual -> usual.toBuilder()
                .indirectProbes(2)
                .stateSyncIntervalUs(5 * PERIOD)
                .tombstoneRetentionUs(20 * PERIOD)
                .maxMembers(8)
                .gossipBudgetBytes(500)
                .build();
        MembersWorld world =
                new MembersWorld(5, Long.MAX_VALUE / 4).with(10, small).startAll(PERIOD);
        pass(world, 20);
        world.member(3).kill();
        pass(world, 15);
        world.member(4).leave();
        pass(world, 60);
        assertEquals("[87, 0, 9, 0, 9, 8, 17, 0, 0, 242] 95000000 2217 168663 a0c536e2", trace(world));
    }

    @Test
    void aStudyComesToTheSameFigures() {
        assertEquals(
                "[12, 7, 2.0, 105.82916666666667, 1.227972, 1.959131, 1.0]",
                values(MembersStudy.play(12, 7, settings -> settings)));
        assertEquals("[10, 3, 0, 18]", values(MembersStudy.falsely(10, 3, 0.05, 60, settings -> settings)));
    }

    /** The components in their order, whatever their names. */
    private static String values(Record result) {
        return result.toString().replaceAll("[A-Za-z]+=|^[A-Za-z]+", "");
    }

    @Test
    void aModelCheckReachesTheSameStates() {
        ModelCheck.Result result = ModelCheck.check(3, 4, 1_000_000);
        assertEquals(List.of(682L, 507L), List.of(result.states(), result.ends()));
    }
}
