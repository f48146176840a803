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

/** The command {@code lb fleet scale}: measures the cost of the decision module against the number of servers. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Measures the cost of the decision module of one node with endpoint lists of several sizes:"
                + " memory, CPU time for a full list, a change and a decision, and the growth of each.",
        footer = {"%nExample: lb fleet scale --nodes 1200 --servers 200,1000,5000,19000" + " --json scale.json%n"})
final class FleetScale implements Callable<Integer> {
    /** A regression line needs at least two points. */
    private static final int MIN_SIZES = 2;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--nodes",
            defaultValue = "1200",
            description = "Number of nodes in the settings; default"
                    + " ${DEFAULT-VALUE}. With many nodes, each one uses a subset of the servers.")
    private int nodes;

    @Option(
            names = "--servers",
            split = ",",
            defaultValue = "24,200,1000,2000,5000,19000",
            description = "Numbers of servers in the endpoint list; default ${DEFAULT-VALUE}.")
    private List<Integer> sizes;

    @Option(
            names = "--requests",
            defaultValue = "20000",
            description = "Requests in each of the five rounds per size; default ${DEFAULT-VALUE}.")
    private int requests;

    @Option(names = "--json", description = "Also writes all results to this file, as JSON.")
    private Path json;

    /** The linear regression of a cost over the number of servers. */
    private record Growth(double atZero, double perServer, double rSquared) {}

    @Override
    public Integer call() throws IOException {
        require(nodes >= 1, "--nodes = " + nodes + ": must be at least 1");
        require(requests >= 1, "--requests = " + requests + ": must be at least 1");
        require(
                sizes.size() >= MIN_SIZES && sizes.stream().allMatch(n -> n >= 1),
                "--servers = " + sizes + ": must be two sizes or more, each at least 1");
        PrintWriter out = spec.commandLine().getOut();
        // Warm-up: without it, the first measurement would include the time of just-in-time compilation.
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
                        "%-18s %12.3f + %.5f per server, R2 %.3f%n",
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

    private static void require(boolean valid, String message) {
        if (!valid) {
            throw new UsageException(message);
        }
    }

    private static Growth growth(List<Cost> costs, ToDoubleFunction<Cost> metric) {
        SimpleRegression regression = new SimpleRegression();
        costs.forEach(cost -> regression.addData(cost.servers(), metric.applyAsDouble(cost)));
        return new Growth(regression.getIntercept(), regression.getSlope(), regression.getRSquare());
    }
}
