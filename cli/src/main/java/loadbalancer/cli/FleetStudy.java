package loadbalancer.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import loadbalancer.membership.core.MembershipSettings;
import loadbalancer.rig.members.MembershipStudy;
import loadbalancer.rig.members.MembershipStudy.FalsePositives;
import loadbalancer.rig.members.MembershipStudy.Result;
import loadbalancer.rig.play.Seeds;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Membership measured in simulated time. */
@Command(
        name = "study",
        mixinStandardHelpOptions = true,
        description = "Measures membership in simulated time: its load, how quickly a crash is known, how quickly"
                + " halves find each other, and how often it errs.",
        footer = {"%nExample: lb fleet study --sizes 3,30,100 --seeds 20%n"})
final class FleetStudy implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "3,30,100",
            description = "Members; default ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Option(names = "--seeds", defaultValue = "20", description = "Fleets of each; default ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(names = "--cores", description = "How many at a time; default all.")
    private Integer cores;

    @Option(
            names = "--false-seconds",
            defaultValue = "0",
            description = "Also counts what living members are"
                    + " falsely held for, over so long, with 5 in 100 datagrams lost and members that stand still;"
                    + " once as it is and once without members that doubt themselves. Default: not.")
    private int falseSeconds;

    @Override
    public Integer call() throws InterruptedException {
        if (seeds < 1 || sizes.stream().anyMatch(n -> n < 3)) {
            throw new UsageException(
                    seeds < 1
                            ? "--seeds = " + seeds + ": must be at least 1"
                            : "--sizes = " + sizes + ": each must be at least 3");
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println("times in periods: median, 99 of 100, most; 1.58 is e/(e-1), of asking one at random");
        for (int n : sizes) {
            List<Result> played = each(seed -> MembershipStudy.measure(n, seed, set -> set));
            out.printf(
                    Locale.ROOT,
                    "%5d members: a member sends %.2f datagrams and %.0f bytes a second%n",
                    n,
                    mean(played, Result::datagramsPerSecond),
                    mean(played, Result::bytesPerSecond));
            line(out, "crash suspected by one", played, Result::firstDetection);
            line(out, "crash known to all", played, Result::fullDetection);
            line(out, "alike after a cut", played, Result::convergence);
            out.printf(Locale.ROOT, "        (3 log2 n is %.1f)%n", 3 * Math.log(n) / Math.log(2));
            if (falseSeconds > 0) {
                falsely(out, n, "as it is", set -> set);
                falsely(out, n, "without doubting itself", FleetStudy::sure);
            }
            out.flush();
        }
        return ExitCode.OK;
    }

    private <T> List<T> each(LongFunction<T> play) throws InterruptedException {
        return Seeds.play(
                1, seeds, cores == null ? Runtime.getRuntime().availableProcessors() : cores, play, done -> {});
    }

    /** Never stretches its times, and waits for nobody's confirmation. */
    private static MembershipSettings sure(MembershipSettings settings) {
        return settings.toBuilder().maxSuspicionFactor(1).maxLocalHealth(0).build();
    }

    private void falsely(PrintWriter out, int n, String how, UnaryOperator<MembershipSettings> tuned)
            throws InterruptedException {
        List<FalsePositives> played =
                each(seed -> MembershipStudy.countFalsePositives(n, seed, 0.05, falseSeconds, tuned));
        out.printf(
                Locale.ROOT,
                "        %s: false deaths %d, suspicions %d, in %d s of %d fleets%n",
                how,
                played.stream().mapToLong(FalsePositives::failures).sum(),
                played.stream().mapToLong(FalsePositives::suspicions).sum(),
                falseSeconds,
                seeds);
    }

    private static double mean(List<Result> of, ToDoubleFunction<Result> figure) {
        return of.stream().mapToDouble(figure).average().orElseThrow();
    }

    private static void line(PrintWriter out, String what, List<Result> of, ToDoubleFunction<Result> figure) {
        List<Double> sorted =
                new ArrayList<>(of.stream().map(figure::applyAsDouble).sorted().toList());
        long missing = sorted.stream().filter(v -> v < 0).count();
        out.printf(
                Locale.ROOT,
                "        %-24s %6.2f %6.2f %6.2f%s%n",
                what,
                sorted.get(sorted.size() / 2),
                sorted.get((int) Math.ceil(0.99 * sorted.size()) - 1),
                sorted.get(sorted.size() - 1),
                missing == 0 ? "" : "  (" + missing + " never)");
    }
}
