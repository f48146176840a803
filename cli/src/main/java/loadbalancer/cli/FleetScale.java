package loadbalancer.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import loadbalancer.harness.scale.ModuleScale;
import loadbalancer.harness.scale.ModuleScale.Cost;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** What a node's decisions cost as the fleet grows. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures what the decision module of one node costs before lists of several sizes:"
                + " memory, processor time for a list, a change and a decision, and how each grows.",
        footer = {"%nExample: lb fleet scale --nodes 1200 --servers 200,1000,5000,19000" + " --json scale.json%n"})
final class FleetScale implements Callable<Integer> {
    /** A line through fewer points tells nothing of a bend. */
    private static final int LEAST_SIZES = 2;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--nodes",
            defaultValue = "1200",
            description = "Nodes that the settings name; default"
                    + " ${DEFAULT-VALUE}. With many, each uses a part of the servers.")
    private int nodes;

    @Option(
            names = "--servers",
            split = ",",
            defaultValue = "24,200,1000,2000,5000,19000",
            description = "Servers in the list; default ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Option(
            names = "--requests",
            defaultValue = "20000",
            description = "Requests in each of the five rounds of a size; default ${DEFAULT-VALUE}.")
    private int requests;

    @Option(names = "--json", description = "Also writes all figures to this file.")
    private Path json;

    /** A figure as a line over the number of servers. */
    private record Growth(double atZero, double perServer, double rSquared) {}

    @Override
    public Integer call() throws IOException {
        check(nodes >= 1, "--nodes = " + nodes + ": must be at least 1");
        check(requests >= 1, "--requests = " + requests + ": must be at least 1");
        check(
                sizes.size() >= LEAST_SIZES && sizes.stream().allMatch(n -> n >= 1),
                "--servers = " + sizes + ": must be two sizes or more, each at least 1");
        PrintWriter out = spec.commandLine().getOut();
        // What is measured first would else pay for compilation.
        ModuleScale.measure(nodes, sizes.get(0), requests);
        out.println("nodes servers   state KB  list us  change us  decision us  decision with 1% errors us");
        List<Cost> costs = new ArrayList<>();
        for (int servers : sizes) {
            Cost cost = ModuleScale.measure(nodes, servers, requests);
            costs.add(cost);
            out.printf(
                    Locale.ROOT,
                    "%5d %7d %10.0f %8.0f %10.1f %12.2f %12.2f%n",
                    nodes,
                    servers,
                    cost.stateBytes() / 1e3,
                    cost.wholeListUs(),
                    cost.oneChangeUs(),
                    cost.decisionUs(),
                    cost.failingDecisionUs());
            out.flush();
        }
        Map<String, Growth> growth = Map.of(
                "stateBytes", growth(costs, Cost::stateBytes),
                "wholeListUs", growth(costs, Cost::wholeListUs),
                "oneChangeUs", growth(costs, Cost::oneChangeUs),
                "decisionUs", growth(costs, Cost::decisionUs),
                "failingDecisionUs", growth(costs, Cost::failingDecisionUs));
        growth.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> out.printf(
                        Locale.ROOT,
                        "%-18s %12.3f + %.5f a server, R2 %.3f%n",
                        entry.getKey(),
                        entry.getValue().atZero,
                        entry.getValue().perServer,
                        entry.getValue().rSquared));
        if (json != null) {
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .writeValue(json.toFile(), Map.of("costs", costs, "growth", growth));
        }
        return ExitCode.OK;
    }

    private static void check(boolean allowed, String message) {
        if (!allowed) {
            throw new UsageException(message);
        }
    }

    private static Growth growth(List<Cost> costs, ToDoubleFunction<Cost> figure) {
        SimpleRegression line = new SimpleRegression();
        costs.forEach(cost -> line.addData(cost.servers(), figure.applyAsDouble(cost)));
        return new Growth(line.getIntercept(), line.getSlope(), line.getRSquare());
    }
}
