package loadbalancer.cli;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import loadbalancer.harness.baseline.Baselines;
import loadbalancer.harness.baseline.JarPolicy;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.fault.Faults;
import loadbalancer.harness.run.Comparison;
import loadbalancer.harness.run.Outcome;
import loadbalancer.harness.run.ScenarioShrinker;
import loadbalancer.harness.run.SeedSweep;
import loadbalancer.harness.run.SimulatedRun;
import loadbalancer.harness.scenario.BadScenarioException;
import loadbalancer.harness.scenario.DayFile;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.scenario.ScenarioFile;
import loadbalancer.harness.simulation.Policy;
import loadbalancer.harness.simulation.Testbed;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command {@code lb fleet}: runs scenarios of several nodes with faults, and reports rule violations. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = {FleetDemo.class, FleetMembers.class, FleetScale.class, FleetSoak.class, FleetStudy.class},
        description = "Runs fleets of nodes with injected faults and checks rules; shows members of running fleets.")
final class Fleet {
    private static final String JAR = "jar:";

    @Spec
    private CommandSpec spec;

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }

    private static boolean isTerminal() {
        return System.console() != null;
    }

    /** A scenario file and the options that override it. */
    static final class ScenarioOptions {
        @Parameters(paramLabel = "SCENARIO", description = "A scenario file; docs/harness.md lists its keys.")
        private Path file;

        @Option(
                names = "--set",
                paramLabel = "KEY=VALUE",
                description = "Overrides the file's value: --set load.per_second=200 --set fault.0.size=4")
        private Map<String, String> overrides = new LinkedHashMap<>();

        Scenario read() {
            return read(Map.of());
        }

        /** Reads the scenario with further overrides, which take precedence over those of {@code --set}. */
        Scenario read(Map<String, String> extra) {
            Map<String, String> all = new LinkedHashMap<>(overrides);
            all.putAll(extra);
            try {
                return ScenarioFile.read(file, all, Faults.names());
            } catch (BadScenarioException e) {
                throw new UsageException(file + ":\n  " + String.join("\n  ", e.problems()));
            }
        }

        /** Returns the command line that repeats the run with this seed. */
        String replayCommand(String command, long seed) {
            String setOptions = overrides.entrySet().stream()
                    .map(e -> " --set " + e.getKey() + "=" + e.getValue())
                    .collect(Collectors.joining());
            return "lb fleet " + command + " " + file + " --seed " + seed + setOptions;
        }
    }

    private static Policy policy(String name) {
        if (name.startsWith(JAR)) {
            try {
                return JarPolicy.of(Path.of(name.substring(JAR.length())));
            } catch (IOException e) {
                throw new UsageException("policy " + e.getMessage());
            }
        }
        Policy policy = Baselines.named(name);
        if (policy == null) {
            throw new UsageException("policy " + name + ": must be " + JAR + "FILE, a node's jar, or one of "
                    + String.join(", ", Baselines.names()));
        }
        return policy;
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario once.",
            footer = {"%nExample: lb fleet run scenarios/jam.toml --seed 7 --history jam.jsonl", ExitCode.HELP})
    int run(
            @Mixin ScenarioOptions options,
            @Option(names = "--seed", defaultValue = "1", description = "Random seed; default 1.") long seed,
            @Option(
                            names = "--policy",
                            defaultValue = "module",
                            description = "Policy: ${DEFAULT-VALUE} (default), a built-in baseline, or jar:FILE.")
                    String policyName,
            @Option(names = "--json", description = "Prints the outcome as one line of JSON.") boolean json,
            @Option(names = "--real", description = "Runs node processes on loopback, in real time.") boolean real,
            @Option(names = "--history", paramLabel = "FILE", description = "Writes all events to FILE.") Path file)
            throws IOException, InterruptedException {
        Scenario scenario = options.read();
        Policy policy = policy(policyName);
        if (real && policy != Policy.MODULE) {
            throw new UsageException("--policy " + policyName + ": must be module with --real");
        }
        SimulatedRun.Progress progress = isTerminal() && !json ? this::printProgress : (nowUs, testbed) -> {};
        Outcome outcome;
        try (OutputStream history = file == null ? null : new BufferedOutputStream(Files.newOutputStream(file))) {
            outcome = real
                    ? FleetDemo.runProcesses(scenario, seed, history, event -> {}, progress)
                    : SimulatedRun.run(scenario, seed, policy, history, true, progress);
        }
        if (json) {
            out().println(Outcomes.json(scenario, outcome));
        } else {
            out().println(outcome.score());
            out().println(outcome.events() + " events" + (real ? "" : ", SHA-256 " + outcome.digest()));
            printViolations(outcome, options);
        }
        return outcome.keepsRules() ? ExitCode.OK : ExitCode.CHECK_FAILED;
    }

    private void printProgress(long nowUs, Testbed testbed) {
        err().printf(Locale.ROOT, "\r%4d s  %5d requests open", nowUs / 1_000_000, testbed.openRequests());
        err().flush();
    }

    private void printViolations(Outcome outcome, ScenarioOptions options) {
        for (Violation violation : outcome.violations()) {
            out().println("BROKEN " + violation);
            out().println("replay: " + options.replayCommand("run", outcome.seed()));
        }
        if (outcome.keepsRules()) {
            out().println("rules kept");
        }
    }

    @Command(
            name = "hunt",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario with many seeds, searches"
                    + " for violated rules, and reduces the scenario of the first violation.",
            footer = {"%nExample: lb fleet hunt scenarios/herd.toml --seeds 1000", ExitCode.HELP})
    int hunt(
            @Mixin ScenarioOptions options,
            @Option(names = "--seeds", defaultValue = "100", description = "Number of seeds; default 100.") int seeds,
            @Option(names = "--first", defaultValue = "1", description = "The first seed; default 1.") long first,
            @Option(names = "--cores", description = "Number of runs at a time; default one per core.") Integer cores,
            @Option(names = "--policy", defaultValue = "module", description = "Policy, as for run.") String policyName)
            throws InterruptedException {
        Scenario scenario = options.read();
        Policy policy = policy(policyName);
        int[] done = {0};
        List<Outcome> outcomes = SeedSweep.run(
                first,
                requireAtLeastOne("--seeds", seeds),
                coresOrAll(cores),
                seed -> SimulatedRun.run(scenario, seed, policy),
                outcome -> {
                    if (isTerminal()) {
                        err().printf("\r%d of %d seeds", ++done[0], seeds);
                        err().flush();
                    }
                });
        List<Outcome> broken =
                outcomes.stream().filter(outcome -> !outcome.keepsRules()).toList();
        double[] scores = outcomes.stream()
                .mapToDouble(outcome -> outcome.score().g())
                .sorted()
                .toArray();
        out().printf(
                        Locale.ROOT,
                        "%d seeds, %d broken; G min %.4f, median %.4f, max %.4f%n",
                        outcomes.size(),
                        broken.size(),
                        scores[0],
                        scores[scores.length / 2],
                        scores[scores.length - 1]);
        if (broken.isEmpty()) {
            return ExitCode.OK;
        }
        out().println("seeds that violate a rule: "
                + broken.stream()
                        .limit(20)
                        .map(outcome -> Long.toString(outcome.seed()))
                        .collect(Collectors.joining(", ")));
        Outcome failed = broken.get(0);
        printViolations(failed, options);
        ScenarioShrinker.Result smallest = ScenarioShrinker.shrink(
                scenario, failed.violations().get(0), smaller -> SimulatedRun.run(smaller, failed.seed(), policy));
        Scenario s = smallest.scenario();
        out().printf(
                        Locale.ROOT,
                        "%nsmallest found in %d runs: %.3f s, %d nodes, %d servers, %.1f requests per"
                                + " second, %d keys, faults %s%n",
                        smallest.runs(),
                        s.lengthUs() / 1e6,
                        s.fleet().nodes(),
                        s.fleet().servers(),
                        s.load().perSecond(),
                        s.load().keys(),
                        s.faults());
        out().println(smallest.violation());
        return ExitCode.CHECK_FAILED;
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Runs a scenario with two policies on the same seeds, and compares their scores.",
            footer = {
                "%nExample: lb fleet compare scenarios/jam.toml --a module --b two-choices" + " --seeds 30",
                ExitCode.HELP
            })
    int compare(
            @Mixin ScenarioOptions options,
            @Option(names = "--a", defaultValue = "module", description = "Policy A; default module.") String a,
            @Option(
                            names = "--b",
                            defaultValue = "module",
                            description = "Policy B: module (default), random, round-robin,"
                                    + " least-outstanding, two-choices, plain, oracle, or jar:FILE for the module of"
                                    + " another build.")
                    String b,
            @Option(names = "--set-a", paramLabel = "KEY=VALUE", description = "Like --set, but for A only.")
                    Map<String, String> setA,
            @Option(names = "--set-b", paramLabel = "KEY=VALUE", description = "Like --set, but for B only.")
                    Map<String, String> setB,
            @Option(names = "--seeds", defaultValue = "30", description = "Number of seeds; default 30.") int seeds,
            @Option(names = "--first", defaultValue = "1", description = "The first seed; default 1.") long first,
            @Option(names = "--cores", description = "Number of runs at a time; default one per core.") Integer cores)
            throws InterruptedException {
        requireAtLeastOne("--seeds", seeds);
        List<Outcome> outcomesA =
                runSeeds(options.read(setA == null ? Map.of() : setA), policy(a), first, seeds, coresOrAll(cores));
        List<Outcome> outcomesB =
                runSeeds(options.read(setB == null ? Map.of() : setB), policy(b), first, seeds, coresOrAll(cores));
        out().println("G of A = " + a + (setA == null ? "" : " " + setA) + ", B = " + b
                + (setB == null ? "" : " " + setB) + ", " + seeds + " seeds from " + first);
        out().println(Comparison.of(
                outcomesA.stream().mapToDouble(o -> o.score().g()).toArray(),
                outcomesB.stream().mapToDouble(o -> o.score().g()).toArray()));
        long brokenA = outcomesA.stream().filter(o -> !o.keepsRules()).count();
        long brokenB = outcomesB.stream().filter(o -> !o.keepsRules()).count();
        out().println("seeds with a broken rule: A " + brokenA + ", B " + brokenB);
        return brokenA == 0 ? ExitCode.OK : ExitCode.CHECK_FAILED;
    }

    private static List<Outcome> runSeeds(Scenario scenario, Policy policy, long first, int seeds, int cores)
            throws InterruptedException {
        return SeedSweep.run(first, seeds, cores, seed -> SimulatedRun.run(scenario, seed, policy), outcome -> {});
    }

    @Command(
            name = "import",
            mixinStandardHelpOptions = true,
            description = "Converts a day file of the platform's simulator to a scenario and prints it.",
            footer = "%nExample: lb fleet import day.json > scenarios/day.toml")
    int importDay(@Parameters(paramLabel = "DAY", description = "The day file, as JSON.") Path day) {
        try {
            out().print(DayFile.toToml(day, day.getFileName().toString().replaceFirst("\\.json$", "")));
            out().flush();
            return ExitCode.OK;
        } catch (IOException e) {
            throw new UsageException(e.getMessage());
        }
    }

    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description =
                    "Writes tables and plots of the histories in a directory" + " as one self-contained HTML page.",
            footer = "%nExample: lb fleet report runs/ --out report.html")
    int report(
            @Parameters(paramLabel = "DIR", description = "Directory of histories, *.jsonl.") Path directory,
            @Option(names = "--out", defaultValue = "report.html", description = "Default: report.html.") Path page)
            throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(directory)) {
            files = all.filter(file -> file.toString().endsWith(".jsonl"))
                    .sorted()
                    .toList();
        } catch (NoSuchFileException | NotDirectoryException e) {
            throw new UsageException(directory + ": is not a directory");
        }
        if (files.isEmpty()) {
            throw new UsageException(directory + ": contains no *.jsonl files");
        }
        Files.writeString(page, Report.toHtml(files));
        out().println("wrote " + page);
        return ExitCode.OK;
    }

    @Command(
            name = "faults",
            aliases = "troubles",
            mixinStandardHelpOptions = true,
            description = "Lists the kinds of faults.")
    int faults() {
        Faults.names().forEach(out()::println);
        return ExitCode.OK;
    }

    private static int requireAtLeastOne(String option, int value) {
        if (value < 1) {
            throw new UsageException(option + " " + value + ": must be at least 1");
        }
        return value;
    }

    private static int coresOrAll(Integer cores) {
        return cores == null ? Runtime.getRuntime().availableProcessors() : requireAtLeastOne("--cores", cores);
    }
}
