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

/**
 * The command {@code lb fleet demo}: runs node processes for half a minute and shows that they route requests around
 * faulty servers.
 */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts 3 node processes, and simulates 12 app servers"
                + " in 3 zones, their endpoint list and clients of four request classes. One server becomes slow, one"
                + " returns errors and one is killed.",
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
    /** Requests served in the current second, by server. */
    private final Map<String, Integer> servedByServer = new HashMap<>();

    /** Requests served in the current second, by the node that sent them. */
    private final Map<String, Integer> servedByNode = new HashMap<>();

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        Scenario scenario;
        try {
            scenario = ScenarioFile.parse(SCENARIO, Map.of(), Faults.names());
        } catch (BadScenarioException e) {
            throw new IllegalStateException("the built-in scenario of the demo is invalid", e);
        }
        out.println("starting 3 nodes; a server is slow from 5 s, one fails all requests from 12 s,"
                + " one is killed at 19 s");
        out.println(
                "each second, by node and by server: requests served; +n: requests at the server; !: server is down");
        out.flush();
        Outcome outcome = runProcesses(
                scenario, 1, null, event -> onEvent(out, event), (nowUs, testbed) -> printSecond(out, nowUs, testbed));
        out.println(outcome.score());
        outcome.violations().forEach(violation -> out.println("BROKEN " + violation));
        out.println(outcome.keepsRules() ? "rules kept" : "rules broken");
        return outcome.keepsRules() ? ExitCode.OK : ExitCode.CHECK_FAILED;
    }

    /**
     * Runs a scenario with node processes. They are stopped before this method returns, and by a shutdown hook if this
     * process is terminated.
     *
     * @param history receives the history, or null; the caller closes it
     * @param reader receives each event
     */
    static Outcome runProcesses(
            Scenario scenario, long seed, OutputStream history, History.Reader reader, SimulatedRun.Progress progress)
            throws IOException, InterruptedException {
        DeployFile deploy = DeployFile.find(Path.of(""));
        Path directory = Files.createTempDirectory("lb-fleet");
        ProcessRun run = new ProcessRun(scenario, seed, deploy, directory, history, reader);
        Thread shutdownHook = new Thread(run::close, "fleet shutdown hook");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            return run.run(progress);
        } finally {
            run.close();
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            delete(directory);
        }
    }

    private static void delete(Path directory) throws IOException {
        List<Path> all;
        try (Stream<Path> files = Files.walk(directory)) {
            all = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : all) {
            Files.deleteIfExists(path);
        }
    }

    private void onEvent(PrintWriter out, Event event) {
        if (event.kind() == Event.Kind.SERVED) {
            servedByServer.merge(event.process(), 1, Integer::sum);
            servedByNode.merge(event.text("node"), 1, Integer::sum);
        } else if (event.kind() == Event.Kind.FAULT) {
            out.println("      " + event.text("kind") + " injected into " + event.text("who"));
        } else if (event.kind() == Event.Kind.HEALED) {
            out.println("      " + event.text("kind") + " ended");
        }
    }

    private void printSecond(PrintWriter out, long nowUs, Testbed testbed) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%3d s ", nowUs / 1_000_000));
        for (FleetNode node : testbed.nodes()) {
            line.append(String.format(Locale.ROOT, " %s%3d", node.name(), servedByNode.getOrDefault(node.name(), 0)));
        }
        line.append(" |");
        for (AppServer server : testbed.servers().values()) {
            line.append(String.format(
                    Locale.ROOT,
                    " %s%s%d+%d",
                    server.id(),
                    server.isUp() ? " " : "!",
                    servedByServer.getOrDefault(server.id(), 0),
                    server.requestCount()));
        }
        servedByServer.clear();
        servedByNode.clear();
        out.println(line);
        out.flush();
    }
}
