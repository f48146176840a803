package loadbalancer.rig.members;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Each tricky situation in simulated time, over seeds; what it must come to is that all who live hold the
 * same.
 */
class MembershipTest {
    private static final long PERIOD = 1_000_000;
    /** More of both for a longer hunt. */
    private static final int SEEDS = Integer.getInteger("loadbalancer.seeds", 5);

    private static final int JOINING = Integer.getInteger("loadbalancer.joining", 200);

    /**
     * One situation.
     *
     * @param healPeriods by so many periods after the script is through all have to agree
     * @param deathsAllowed whether it may make somebody hold a process that lives for dead
     */
    private record Trial(int members, int healPeriods, boolean deathsAllowed, Consumer<MembersWorld> script) {}

    private static void pass(MembersWorld world, double periods) {
        world.time().playUntil(world.time().nowUs() + Math.round(periods * PERIOD));
    }

    private static boolean half(String name) {
        return Integer.parseInt(name.substring(1)) % 2 == 0;
    }

    private static Map<String, Trial> trials() {
        Map<String, Trial> trials = new TreeMap<>();
        trials.put("nothing goes wrong", new Trial(30, 10, false, world -> pass(world, 30)));
        trials.put(
                "one is killed",
                new Trial(30, 30, false, world -> world.member(7).kill()));
        trials.put("one leaves", new Trial(30, 10, false, world -> {
            world.member(7).leave();
            pass(world, 10);
            assertTrue(world.member(3).count(MembershipChange.Type.LEFT) == 1
                    && world.deaths().isEmpty());
        }));
        trials.put("cut in two and healed", new Trial(20, 15, true, world -> {
            world.net().cut((a, b) -> half(a) != half(b));
            pass(world, 60);
            world.net().heal();
            world.fault("healed");
        }));
        trials.put("cut in three and healed", new Trial(21, 15, true, world -> {
            world.net().cut((a, b) -> Integer.parseInt(a.substring(1)) % 3 != Integer.parseInt(b.substring(1)) % 3);
            pass(world, 60);
            world.net().heal();
            world.fault("healed");
        }));
        trials.put("one hears nobody and speaks", new Trial(12, 15, true, world -> {
            world.net().cut((a, b) -> b.equals("m5"));
            pass(world, 40);
            world.net().heal();
            world.fault("healed");
        }));
        trials.put("a bridge sees both sides", new Trial(13, 15, true, world -> {
            world.net().cut((a, b) -> !a.equals("m12") && !b.equals("m12") && half(a) != half(b));
            pass(world, 40);
            world.net().heal();
            world.fault("healed");
        }));
        trials.put("a link flaps every 300 ms", new Trial(12, 15, false, world -> {
            for (int i = 0; i < 100; i++) {
                boolean off = i % 2 == 0;
                world.net()
                        .cut((a, b) -> off && (a.equals("m3") && b.equals("m4") || a.equals("m4") && b.equals("m3")));
                pass(world, 0.3);
            }
            world.net().heal();
            world.fault("healed");
        }));
        trials.put("one stands still for 3 s", new Trial(30, 15, false, world -> {
            world.member(4).pause(true);
            pass(world, 3);
            world.member(4).pause(false);
        }));
        trials.put("one stands still for a minute", new Trial(30, 15, true, world -> {
            world.member(4).pause(true);
            pass(world, 60);
            world.member(4).pause(false);
        }));
        trials.put(
                "one stands still while it suspects half of all, and gives none of them up",
                new Trial(12, 15, false, world -> {
                    // Its own word comes through, so that nobody gives it up either.
                    world.net().cut((a, b) -> b.equals("m4") && half(a));
                    pass(world, 4);
                    world.net().heal();
                    world.member(4).pause(true);
                    pass(world, 3);
                    world.member(4).pause(false);
                    world.fault("healed");
                }));
        trials.put("three in ten datagrams lost, some come twice and in any order", new Trial(20, 20, false, world -> {
            world.net().harm(0.3, 0.1);
            world.net().delay(500, 50_000);
            pass(world, 60);
            world.net().harm(0, 0);
            world.fault("healed");
        }));
        trials.put("all killed and started at once, no seed among them", new Trial(10, 40, true, world -> {
            world.members().forEach(SimMember::kill);
            pass(world, 2);
            world.members().subList(3, 10).forEach(SimMember::start);
            pass(world, 20);
            world.member(0).start();
        }));
        trials.put("rolling restart of all", new Trial(30, 30, false, world -> {
            for (SimMember member : world.members()) {
                member.leave();
                pass(world, 0.5);
                member.start();
                pass(world, 0.5);
            }
        }));
        trials.put("killed and back at once", new Trial(12, 15, false, world -> {
            world.member(5).kill();
            world.member(5).start();
        }));
        trials.put("back with a clock that is an hour behind", new Trial(12, 30, false, world -> {
            world.member(5).kill();
            pass(world, 1);
            world.member(5).clockOff(-3_600_000_000L);
            world.member(5).start();
        }));
        trials.put("another name at the same address", new Trial(12, 40, false, world -> {
            world.member(5).kill();
            world.add(MembershipSettings.of("m99", "m5:1", "z0", "node", List.of("m0:1")))
                    .start();
        }));
        trials.put("the same name at another address after a crash", new Trial(12, 40, false, world -> {
            world.member(5).kill();
            pass(world, 2);
            world.add(MembershipSettings.of("m5", "other:1", "z0", "node", List.of("m0:1")))
                    .start();
        }));
        trials.put("the same name twice", new Trial(12, 20, true, world -> {
            SimMember twin = world.add(MembershipSettings.of("m5", "other:1", "z0", "node", List.of("m0:1")));
            twin.start();
            pass(world, 15);
            assertTrue(twin.isUp() && !world.member(5).isUp(), "the one that began first gives way");
            assertEquals(1, world.member(5).count(MembershipChange.Type.NAME_YIELDED));
        }));
        return trials;
    }

    private static MembersWorld world(long seed, int members, long withinUs, UnaryOperator<MembershipSettings> tuned) {
        MembersWorld world =
                new MembersWorld(seed, withinUs).with(members, tuned).startAll(PERIOD);
        pass(world, 20);
        assertTrue(world.agree(), "no agreement at the start, seed " + seed);
        return world;
    }

    @TestFactory
    Stream<DynamicTest> allWhoLiveComeToHoldTheSame() {
        return trials().entrySet().stream()
                .map(entry -> DynamicTest.dynamicTest(entry.getKey(), () -> {
                    Trial trial = entry.getValue();
                    for (long seed = 1; seed <= SEEDS; seed++) {
                        MembersWorld world =
                                world(seed, trial.members, trial.healPeriods * PERIOD, settings -> settings);
                        trial.script.accept(world);
                        long from = world.time().nowUs();
                        long agreed = world.agreedAtUs(PERIOD / 2, from + trial.healPeriods * PERIOD);
                        assertTrue(agreed >= 0, "no agreement, seed " + seed);
                        pass(world, trial.healPeriods + 1);
                        assertEquals(List.of(), world.end(), "seed " + seed);
                        assertTrue(
                                trial.deathsAllowed || world.falseDeaths() == 0,
                                "held for dead though they lived, seed " + seed + ": " + world.deaths());
                    }
                }));
    }

    @Test
    void hundredsJoinWithinASecond() {
        MembersWorld world = new MembersWorld(1, 30 * PERIOD)
                .with(JOINING, settings -> settings)
                .startAll(PERIOD);
        pass(world, 1);
        assertEquals(JOINING, world.members().stream().filter(SimMember::isUp).count());
        assertTrue(world.agreedAtUs(PERIOD, 30 * PERIOD) >= 0);
        assertEquals(0, world.falseDeaths());
    }

    /** A faulty core must not pass: here one that can never contradict, as its word does not come through. */
    @Test
    void aMemberWhoseWordNeverComesThroughIsHeldForDead() {
        MembersWorld world = world(1, 12, 10 * PERIOD, settings -> settings);
        world.net().cut((a, b) -> a.equals("m5"));
        pass(world, 60);
        assertTrue(world.deaths().stream().anyMatch(death -> death.who().equals("m5") && !death.was()));
        assertTrue(!world.agree());
    }
}
