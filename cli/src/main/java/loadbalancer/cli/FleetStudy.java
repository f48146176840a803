package loadbalancer.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import java.util.function.UnaryOperator;
import loadbalancer.harness.membership.MembershipStudy;
import loadbalancer.harness.membership.MembershipStudy.FalsePositives;
import loadbalancer.harness.membership.MembershipStudy.Result;
import loadbalancer.harness.run.SeedSweep;
import loadbalancer.membership.core.MembershipSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code lb fleet study}: measures the membership protocol in simulated time. */
@Command(
        name = "study",
        mixinStandardHelpOptions = true,
        description =
                "Measures the membership protocol in simulated time: its network load, the time to detect a crash, the"
                        + " time to converge after a partition, and false positives.",
        footer = {"%nExample: lb fleet study --sizes 3,30,100 --seeds 20%n"})
final class FleetStudy implements Callable<Integer> {
    /** Share of datagrams that are lost while false positives are counted. */
    private static final double LOSS_SHARE = 0.05;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "3,30,100",
            description = "Numbers of members; default ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Option(names = "--seeds", defaultValue = "20", description = "Fleets of each size; default ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(names = "--cores", description = "Number of fleets at a time; default one per core.")
    private Integer cores;

    @Option(
            names = "--false-seconds",
            defaultValue = "0",
            description = "Also counts false positives in runs of this many seconds, with 5 in 100"
                    + " datagrams lost and members that pause: once with default settings, and once without local"
                    + " health and with the shortest suspicion timeout. Default 0: no such runs.")
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
        out.println("times in probe periods: median, 99th percentile, max; 1.58 is e/(e-1), the mean time until a"
                + " crashed member is probed if each member probes one member at random per period");
        for (int members : sizes) {
            List<Result> results = forEachSeed(seed -> MembershipStudy.measure(members, seed, settings -> settings));
            out.printf(
                    Locale.ROOT,
                    "%5d members: a member sends %.2f datagrams and %.0f bytes per second%n",
                    members,
                    mean(results, Result::datagramsPerSecond),
                    mean(results, Result::bytesPerSecond));
            printTimes(out, "crash suspected by one", results, Result::firstDetection);
            printTimes(out, "crash suspected by all", results, Result::fullDetection);
            printTimes(out, "equal after a partition", results, Result::convergence);
            out.printf(Locale.ROOT, "        (3 log2 n is %.1f)%n", 3 * Math.log(members) / Math.log(2));
            if (falseSeconds > 0) {
                printFalsePositives(out, members, "with default settings", settings -> settings);
                printFalsePositives(out, members, "without local health", FleetStudy::withoutLocalHealth);
            }
            out.flush();
        }
        return ExitCode.OK;
    }

    private <T> List<T> forEachSeed(LongFunction<T> run) throws InterruptedException {
        return SeedSweep.run(
                1, seeds, cores == null ? Runtime.getRuntime().availableProcessors() : cores, run, done -> {});
    }

    /** Turns local health off, and sets the longest suspicion timeout to the shortest one. */
    private static MembershipSettings withoutLocalHealth(MembershipSettings settings) {
        return settings.toBuilder().maxSuspicionFactor(1).maxLocalHealth(0).build();
    }

    private void printFalsePositives(
            PrintWriter out, int members, String variant, UnaryOperator<MembershipSettings> adapt)
            throws InterruptedException {
        List<FalsePositives> results = forEachSeed(
                seed -> MembershipStudy.countFalsePositives(members, seed, LOSS_SHARE, falseSeconds, adapt));
        out.printf(
                Locale.ROOT,
                "        %s: false failures %d, suspicions %d, in %d s of %d fleets%n",
                variant,
                results.stream().mapToLong(FalsePositives::failures).sum(),
                results.stream().mapToLong(FalsePositives::suspicions).sum(),
                falseSeconds,
                seeds);
    }

    private static double mean(List<Result> results, ToDoubleFunction<Result> value) {
        return results.stream().mapToDouble(value).average().orElseThrow();
    }

    private static void printTimes(
            PrintWriter out, String label, List<Result> results, ToDoubleFunction<Result> value) {
        List<Double> sorted = new ArrayList<>(
                results.stream().map(value::applyAsDouble).sorted().toList());
        long missing = sorted.stream().filter(time -> time < 0).count();
        out.printf(
                Locale.ROOT,
                "        %-24s %6.2f %6.2f %6.2f%s%n",
                label,
                sorted.get(sorted.size() / 2),
                sorted.get((int) Math.ceil(0.99 * sorted.size()) - 1),
                sorted.get(sorted.size() - 1),
                missing == 0 ? "" : "  (" + missing + " never)");
    }
}
