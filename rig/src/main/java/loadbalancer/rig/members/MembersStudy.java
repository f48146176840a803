package loadbalancer.rig.members;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipSettings;

/**
 * What membership costs and how quickly it learns, in simulated time: one fleet, one seed, one figure of
 * each.
 */
public final class MembersStudy {
    /** Views have to be alike, and updates to have gone quiet, before anything is measured. */
    private static final int SETTLE_PERIODS = 60;

    private static final int LOAD_PERIODS = 60;
    private static final int MOST_PERIODS = 200;
    private static final int CUT_PERIODS = 60;

    private MembersStudy() {}

    /**
     * One fleet's figures; times are in periods, and -1 for what did not come within {@link #MOST_PERIODS}.
     *
     * @param datagrams sent by a member in a second without churn, on average
     * @param bytes of these
     * @param first from a crash until somebody suspected it
     * @param all from a crash until all who live suspected it or held it for dead
     * @param healed from the end of a cut in two halves until all held the same
     */
    public record Figures(
            int members, long seed, double datagrams, double bytes, double first, double all, double healed) {}

    /** Throws IllegalStateException where a fleet in which nothing goes wrong does not settle. */
    public static Figures play(int members, long seed, UnaryOperator<MembershipSettings> tuned) {
        MembersWorld world = new MembersWorld(seed, Long.MAX_VALUE / 4).with(members, tuned);
        long period = world.member(0).settings().probePeriodUs();
        SplittableRandom random = world.time().stream("study");
        world.startAll(period);
        if (world.agreedAtUs(period, SETTLE_PERIODS * period) < 0) {
            throw new IllegalStateException(members + " members did not settle, seed " + seed);
        }
        pass(world, SETTLE_PERIODS * period + random.nextLong(period));

        long sent = world.net().sent();
        long bytes = world.net().sentBytes();
        pass(world, LOAD_PERIODS * period);
        double perSecond = 1e6 / (LOAD_PERIODS * period) / members;
        double datagrams = (world.net().sent() - sent) * perSecond;
        double load = (world.net().sentBytes() - bytes) * perSecond;

        SimMember victim = world.member(random.nextInt(members));
        long killedUs = world.time().nowUs();
        victim.kill();
        List<SimMember> living =
                world.members().stream().filter(SimMember::isUp).toList();
        // Steps well under a period, as the times themselves are kept to the microsecond.
        for (int i = 0; i < 4 * MOST_PERIODS && !living.stream().allMatch(m -> m.heardUs(victim) >= 0); i++) {
            pass(world, period / 4);
        }
        double first = living.stream()
                .mapToLong(m -> m.heardUs(victim))
                .filter(us -> us >= 0)
                .min()
                .orElse(killedUs - period);
        double all = living.stream().allMatch(m -> m.heardUs(victim) >= 0)
                ? living.stream().mapToLong(m -> m.heardUs(victim)).max().orElseThrow()
                : killedUs - period;

        world.net().cut((a, b) -> half(a) != half(b));
        pass(world, CUT_PERIODS * period);
        world.net().heal();
        long healedUs = world.time().nowUs();
        long agreed = world.agreedAtUs(period / 4, healedUs + MOST_PERIODS * period);
        return new Figures(
                members,
                seed,
                datagrams,
                load,
                (first - killedUs) / period,
                (all - killedUs) / period,
                agreed < 0 ? -1 : (double) (agreed - healedUs) / period);
    }

    /**
     * Members that live and were held for dead, or suspected, by somebody: a share of datagrams is lost, and
     * three members stand still now and then, for less than a suspicion lasts.
     */
    public static Falsely falsely(
            int members, long seed, double lost, int seconds, UnaryOperator<MembershipSettings> tuned) {
        MembersWorld world = new MembersWorld(seed, Long.MAX_VALUE / 4).with(members, tuned);
        long period = world.member(0).settings().probePeriodUs();
        SplittableRandom random = world.time().stream("study");
        world.startAll(period);
        pass(world, SETTLE_PERIODS * period);
        long before = suspicions(world);
        world.net().harm(lost, 0);
        long until = world.time().nowUs() + seconds * 1_000_000L;
        while (world.time().nowUs() < until) {
            SimMember still = world.member(random.nextInt(Math.min(3, members)));
            still.pause(true);
            pass(world, period + random.nextLong(2 * period));
            still.pause(false);
            pass(world, 10 * period + random.nextLong(20 * period));
        }
        return new Falsely(members, seed, world.falseDeaths(), suspicions(world) - before);
    }

    /** Of members that live: how often one was held for dead, and how often one suspected another. */
    public record Falsely(int members, long seed, long deaths, long suspicions) {}

    private static long suspicions(MembersWorld world) {
        return world.members().stream()
                .mapToLong(m -> m.count(MembershipChange.Type.SUSPECTED))
                .sum();
    }

    private static boolean half(String name) {
        return Integer.parseInt(name.substring(1)) % 2 == 0;
    }

    private static void pass(MembersWorld world, long us) {
        world.time().playUntil(world.time().nowUs() + us);
    }
}
