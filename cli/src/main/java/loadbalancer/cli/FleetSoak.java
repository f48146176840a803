package loadbalancer.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import loadbalancer.harness.process.DeployFile;
import loadbalancer.harness.soak.SoakPlan;
import loadbalancer.harness.soak.SoakReport;
import loadbalancer.harness.soak.SoakRun;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The command {@code lb fleet soak}: clients that leave at any step, beside ordinary ones, against a node process. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Runs a node as a process, with clients that leave at any step of their requests, servers that"
                + " reject or fall silent, and replacements of the process. Checks the rules for requests.",
        footer = {"%nExample: lb fleet soak --seed 1 --seeds 50", ExitCode.HELP})
final class FleetSoak implements Callable<Integer> {
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int MIN_SECONDS = 5;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", defaultValue = "1", description = "The first seed; default ${DEFAULT-VALUE}.")
    private long seed;

    @Option(names = "--seeds", defaultValue = "1", description = "Number of seeds; default ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(
            names = "--seconds",
            defaultValue = "12",
            description = "How long clients send, for each seed; default ${DEFAULT-VALUE}.")
    private int seconds;

    @Option(
            names = "--node-faults",
            description = "Also stops the processes, limits their descriptors, shortens deadlines, and sends idle"
                    + " clients and bursts of new connections.")
    private boolean nodeFaults;

    @Option(
            names = "--slow-transfers",
            description = "Also has servers that read requests slowly and write responses in parts, or never end them.")
    private boolean slowTransfers;

    @Option(names = "--plan", description = "Prints what each seed does.")
    private boolean printPlan;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (nodeFaults && slowTransfers) {
            throw new UsageException("--node-faults and --slow-transfers: only one of them is allowed");
        }
        if (seeds < 1 || seconds < MIN_SECONDS) {
            throw new UsageException(
                    "--seeds = " + seeds + ", --seconds = " + seconds + ": must be at least 1 and " + MIN_SECONDS);
        }
        PrintWriter out = spec.commandLine().getOut();
        DeployFile deploy = DeployFile.find(Path.of(""));
        boolean keepsRules = true;
        for (long next = seed; next < seed + seeds; next++) {
            int lengthMs = seconds * MILLIS_PER_SECOND;
            SoakPlan plan = plan(next, lengthMs);
            if (printPlan) {
                out.print(plan.describe());
            }
            Path folder = Files.createTempDirectory("soak-" + next + "-");
            SoakReport report = SoakRun.play(plan, deploy.root(), deploy.run(), folder);
            out.println(report);
            report.violations().forEach(violation -> out.println("BROKEN " + violation));
            if (!report.violations().isEmpty()) {
                keepsRules = false;
                out.println("replay: lb fleet soak --seed " + next + " --seconds " + seconds
                        + (nodeFaults ? " --node-faults" : "") + (slowTransfers ? " --slow-transfers" : "")
                        + "; logs in " + folder);
            }
            out.flush();
        }
        return keepsRules ? ExitCode.OK : ExitCode.CHECK_FAILED;
    }

    private SoakPlan plan(long planSeed, int lengthMs) {
        if (slowTransfers) {
            return SoakPlan.withSlowTransfers(planSeed, lengthMs);
        }
        return nodeFaults ? SoakPlan.withNodeFaults(planSeed, lengthMs) : SoakPlan.of(planSeed, lengthMs);
    }
}
