package loadbalancer.cli;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import loadbalancer.harness.fault.Faults;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.History;
import loadbalancer.harness.process.DeployFile;
import loadbalancer.harness.process.ProcessRun;
import loadbalancer.harness.run.Outcome;
import loadbalancer.harness.run.SimulatedRun;
import loadbalancer.harness.scenario.BadScenarioException;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.scenario.ScenarioFile;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.FleetNode;
import loadbalancer.harness.simulation.Testbed;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The main job in half a minute: nodes that route round what goes wrong. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts 3 nodes, and stands in for 12 app servers"
                + " in 3 zones, their list and clients of four classes; then a server turns slow, one fails, one is"
                + " killed.",
        footer = {"%nExample: lb fleet demo", ExitCode.HELP})
final class FleetDemo implements Callable<Integer> {
    private static final String SCENARIO = """
            name = "demo"
            length_s = 30
            [fleet]
            nodes = 3
            servers = 12
            [load]
            per_second = 40
            [[fault]]
            kind = "slow"
            at_s = 5
            length_s = 8
            part = 0.08
            size = 8
            [[fault]]
            kind = "fast_errors"
            at_s = 12
            length_s = 8
            part = 0.08
            size = 1
            [[fault]]
            kind = "crash"
            at_s = 19
            length_s = 5
            part = 0.08
            """;

    @Spec
    private CommandSpec spec;
    /** In the last second, by server and by node. */
    private final Map<String, Integer> served = new HashMap<>();

    private final Map<String, Integer> handled = new HashMap<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Scenario scenario;
        try {
            scenario = ScenarioFile.parse(SCENARIO, Map.of(), Faults.names());
        } catch (BadScenarioException e) {
            throw new IllegalStateException("the demo's own scenario", e);
        }
        out.println("starting 3 nodes; 5 s in a server turns slow, 12 s in one fails all," + " 19 s in one is killed");
        out.println("each second, by node and by server: requests served; +n more in hand; ! is down");
        out.flush();
        Outcome outcome =
                play(scenario, 1, null, event -> told(out, event), (nowUs, testbed) -> show(out, nowUs, testbed));
        out.println(outcome.score());
        outcome.violations().forEach(violation -> out.println("BROKEN " + violation));
        out.println(outcome.keepsRules() ? "rules kept" : "rules broken");
        return outcome.keepsRules() ? ExitCode.OK : ExitCode.BROKEN;
    }

    /** Plays a scenario with processes, which are gone when this returns or this process is told to end. */
    static Outcome play(
            Scenario scenario, long seed, OutputStream history, History.Reader reader, SimulatedRun.Progress progress)
            throws IOException, InterruptedException {
        DeployFile deploy = DeployFile.find(Path.of(""));
        Path folder = Files.createTempDirectory("lb-fleet");
        ProcessRun run = new ProcessRun(scenario, seed, deploy, folder, history, reader);
        Thread onEnd = new Thread(run::close, "end of the fleet");
        Runtime.getRuntime().addShutdownHook(onEnd);
        try {
            return run.run(progress);
        } finally {
            run.close();
            Runtime.getRuntime().removeShutdownHook(onEnd);
            delete(folder);
        }
    }

    private static void delete(Path folder) throws IOException {
        List<Path> all;
        try (Stream<Path> files = Files.walk(folder)) {
            all = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : all) {
            Files.deleteIfExists(path);
        }
    }

    private void told(PrintWriter out, Event event) {
        if (event.kind() == Event.Kind.SERVED) {
            served.merge(event.process(), 1, Integer::sum);
            handled.merge(event.text("node"), 1, Integer::sum);
        } else if (event.kind() == Event.Kind.FAULT) {
            out.println("      " + event.text("kind") + " strikes " + event.text("who"));
        } else if (event.kind() == Event.Kind.HEALED) {
            out.println("      " + event.text("kind") + " is over");
        }
    }

    private void show(PrintWriter out, long nowUs, Testbed testbed) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%3d s ", nowUs / 1_000_000));
        for (FleetNode node : testbed.nodes()) {
            line.append(String.format(Locale.ROOT, " %s%3d", node.name(), handled.getOrDefault(node.name(), 0)));
        }
        line.append(" |");
        for (AppServer server : testbed.servers().values()) {
            line.append(String.format(
                    Locale.ROOT,
                    " %s%s%d+%d",
                    server.id(),
                    server.isUp() ? " " : "!",
                    served.getOrDefault(server.id(), 0),
                    server.requestCount()));
        }
        served.clear();
        handled.clear();
        out.println(line);
        out.flush();
    }
}
