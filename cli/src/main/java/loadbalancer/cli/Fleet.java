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

/** Whole fleets: several nodes, what surrounds them, and what goes wrong between them. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = {FleetDemo.class, FleetMembers.class, FleetScale.class, FleetStudy.class},
        description = "Plays fleets of nodes, with what goes wrong between them, before a referee.")
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
        @Parameters(paramLabel = "SCENARIO", description = "A scenario file; docs/rig.md tells its keys.")
        private Path file;

        @Option(
                names = "--set",
                paramLabel = "KEY=VALUE",
                description = "Overrides the file's value: --set load.per_second=200 --set fault.0.size=4")
        private Map<String, String> overrides = new LinkedHashMap<>();

        Scenario read() {
            return read(Map.of());
        }

        /** With further overrides, which win over those that are given for all. */
        Scenario read(Map<String, String> more) {
            Map<String, String> all = new LinkedHashMap<>(overrides);
            all.putAll(more);
            try {
                return ScenarioFile.read(file, all, Faults.names());
            } catch (BadScenarioException e) {
                throw new UsageException(file + ":\n  " + String.join("\n  ", e.problems()));
            }
        }

        /** The command line that repeats the run. */
        String replayCommand(String command, long seed) {
            String set = overrides.entrySet().stream()
                    .map(e -> " --set " + e.getKey() + "=" + e.getValue())
                    .collect(Collectors.joining());
            return "lb fleet " + command + " " + file + " --seed " + seed + set;
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
            description = "Plays a scenario once.",
            footer = {"%nExample: lb fleet run scenarios/jam.toml --seed 7 --history jam.jsonl", ExitCode.HELP})
    int run(
            @Mixin ScenarioOptions options,
            @Option(names = "--seed", defaultValue = "1", description = "Seed of all chance; default 1.") long seed,
            @Option(
                            names = "--policy",
                            defaultValue = "module",
                            description = "What decides: ${DEFAULT-VALUE}" + " (default), or a built-in baseline.")
                    String policyName,
            @Option(names = "--json", description = "The outcome as one line of JSON.") boolean json,
            @Option(names = "--real", description = "With processes on loopback, in real time.") boolean real,
            @Option(names = "--history", paramLabel = "FILE", description = "Writes down all that happens.") Path file)
            throws IOException, InterruptedException {
        Scenario scenario = options.read();
        Policy policy = policy(policyName);
        if (real && policy != Policy.MODULE) {
            throw new UsageException("--policy " + policyName + ": must be module with --real");
        }
        SimulatedRun.Progress progress = isTerminal() && !json ? this::showSecond : (nowUs, testbed) -> {};
        Outcome outcome;
        try (OutputStream to = file == null ? null : new BufferedOutputStream(Files.newOutputStream(file))) {
            outcome = real
                    ? FleetDemo.play(scenario, seed, to, event -> {}, progress)
                    : SimulatedRun.run(scenario, seed, policy, to, true, progress);
        }
        if (json) {
            out().println(Outcomes.json(scenario, outcome));
        } else {
            out().println(outcome.score());
            out().println(outcome.events() + " events" + (real ? "" : ", SHA-256 " + outcome.digest()));
            printViolations(outcome, options);
        }
        return outcome.keepsRules() ? ExitCode.OK : ExitCode.BROKEN;
    }

    private void showSecond(long nowUs, Testbed testbed) {
        err().printf(Locale.ROOT, "\r%4d s  %5d requests open", nowUs / 1_000_000, testbed.openRequests());
        err().flush();
    }

    private void printViolations(Outcome outcome, ScenarioOptions options) {
        for (Violation violation : outcome.violations()) {
            out().println("BROKEN " + violation);
            out().println("again: " + options.replayCommand("run", outcome.seed()));
        }
        if (outcome.keepsRules()) {
            out().println("rules kept");
        }
    }

    @Command(
            name = "hunt",
            mixinStandardHelpOptions = true,
            description = "Plays a scenario with many seeds, looks"
                    + " for broken rules, and makes the first that it finds as small as it can.",
            footer = {"%nExample: lb fleet hunt scenarios/herd.toml --seeds 1000", ExitCode.HELP})
    int hunt(
            @Mixin ScenarioOptions options,
            @Option(names = "--seeds", defaultValue = "100", description = "How many; default 100.") int seeds,
            @Option(names = "--first", defaultValue = "1", description = "The first seed; default 1.") long first,
            @Option(names = "--cores", description = "How many at a time; default all.") Integer cores,
            @Option(names = "--policy", defaultValue = "module", description = "What decides.") String policyName)
            throws InterruptedException {
        Scenario scenario = options.read();
        Policy policy = policy(policyName);
        int[] count = {0};
        List<Outcome> all = SeedSweep.run(
                first,
                atLeastOne("--seeds", seeds),
                cores(cores),
                seed -> SimulatedRun.run(scenario, seed, policy),
                outcome -> {
                    if (isTerminal()) {
                        err().printf("\r%d of %d seeds", ++count[0], seeds);
                        err().flush();
                    }
                });
        List<Outcome> broken =
                all.stream().filter(outcome -> !outcome.keepsRules()).toList();
        double[] g = all.stream()
                .mapToDouble(outcome -> outcome.score().g())
                .sorted()
                .toArray();
        out().printf(
                        Locale.ROOT,
                        "%d seeds, %d broken; G least %.4f, median %.4f, most %.4f%n",
                        all.size(),
                        broken.size(),
                        g[0],
                        g[g.length / 2],
                        g[g.length - 1]);
        if (broken.isEmpty()) {
            return ExitCode.OK;
        }
        out().println("seeds that break a rule: "
                + broken.stream()
                        .limit(20)
                        .map(outcome -> Long.toString(outcome.seed()))
                        .collect(Collectors.joining(", ")));
        Outcome worst = broken.get(0);
        printViolations(worst, options);
        ScenarioShrinker.Result least = ScenarioShrinker.shrink(
                scenario, worst.violations().get(0), lesser -> SimulatedRun.run(lesser, worst.seed(), policy));
        Scenario s = least.scenario();
        out().printf(
                        Locale.ROOT,
                        "%nsmallest found in %d plays: %.3f s, %d nodes, %d servers, %.1f requests a"
                                + " second, %d keys, faults %s%n",
                        least.runs(),
                        s.lengthUs() / 1e6,
                        s.fleet().nodes(),
                        s.fleet().servers(),
                        s.load().perSecond(),
                        s.load().keys(),
                        s.faults());
        out().println(least.violation());
        return ExitCode.BROKEN;
    }

    @Command(
            name = "compare",
            mixinStandardHelpOptions = true,
            description = "Plays a scenario with two policies on" + " the same seeds.",
            footer = {
                "%nExample: lb fleet compare scenarios/jam.toml --a module --b two-choices" + " --seeds 30",
                ExitCode.HELP
            })
    int compare(
            @Mixin ScenarioOptions options,
            @Option(names = "--a", defaultValue = "module", description = "Default: module.") String a,
            @Option(
                            names = "--b",
                            defaultValue = "module",
                            description = "module, random, round-robin,"
                                    + " least-outstanding, two-choices, plain, oracle, or jar:FILE for another build's"
                                    + " module.")
                    String b,
            @Option(names = "--set-a", paramLabel = "KEY=VALUE", description = "As --set, for A alone.")
                    Map<String, String> setA,
            @Option(names = "--set-b", paramLabel = "KEY=VALUE", description = "As --set, for B alone.")
                    Map<String, String> setB,
            @Option(names = "--seeds", defaultValue = "30", description = "How many; default 30.") int seeds,
            @Option(names = "--first", defaultValue = "1", description = "The first seed; default 1.") long first,
            @Option(names = "--cores", description = "How many at a time; default all.") Integer cores)
            throws InterruptedException {
        atLeastOne("--seeds", seeds);
        List<Outcome> ofA = play(options.read(setA == null ? Map.of() : setA), policy(a), first, seeds, cores(cores));
        List<Outcome> ofB = play(options.read(setB == null ? Map.of() : setB), policy(b), first, seeds, cores(cores));
        out().println("G of A = " + a + (setA == null ? "" : " " + setA) + ", B = " + b
                + (setB == null ? "" : " " + setB) + ", " + seeds + " seeds from " + first);
        out().println(Comparison.of(
                ofA.stream().mapToDouble(o -> o.score().g()).toArray(),
                ofB.stream().mapToDouble(o -> o.score().g()).toArray()));
        long brokenA = ofA.stream().filter(o -> !o.keepsRules()).count();
        long brokenB = ofB.stream().filter(o -> !o.keepsRules()).count();
        out().println("seeds with a broken rule: A " + brokenA + ", B " + brokenB);
        return brokenA == 0 ? ExitCode.OK : ExitCode.BROKEN;
    }

    private static List<Outcome> play(Scenario scenario, Policy policy, long first, int seeds, int cores)
            throws InterruptedException {
        return SeedSweep.run(first, seeds, cores, seed -> SimulatedRun.run(scenario, seed, policy), outcome -> {});
    }

    @Command(
            name = "import",
            mixinStandardHelpOptions = true,
            description = "Makes a scenario of a day that the" + " platform's simulator has drawn, and prints it.",
            footer = "%nExample: lb fleet import day.json > scenarios/day.toml")
    int importDay(@Parameters(paramLabel = "DAY", description = "The day, as JSON.") Path day) {
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
            description = "Draws what histories in a folder tell," + " as one page that needs nothing else.",
            footer = "%nExample: lb fleet report runs/ --out report.html")
    int report(
            @Parameters(paramLabel = "DIR", description = "Where *.jsonl are, as --history writes them.") Path folder,
            @Option(names = "--out", defaultValue = "report.html", description = "Default: report.html.") Path to)
            throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(file -> file.toString().endsWith(".jsonl"))
                    .sorted()
                    .toList();
        } catch (NoSuchFileException | NotDirectoryException e) {
            throw new UsageException(folder + ": is no folder");
        }
        if (files.isEmpty()) {
            throw new UsageException(folder + ": holds no *.jsonl");
        }
        Files.writeString(to, Report.of(files));
        out().println("wrote " + to);
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

    private static int atLeastOne(String option, int value) {
        if (value < 1) {
            throw new UsageException(option + " " + value + ": must be at least 1");
        }
        return value;
    }

    private static int cores(Integer given) {
        return given == null ? Runtime.getRuntime().availableProcessors() : atLeastOne("--cores", given);
    }
}
