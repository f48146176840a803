package loadbalancer.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import loadbalancer.membership.MembershipClient;
import loadbalancer.membership.codec.MembershipView;
import loadbalancer.membership.core.Member;
import loadbalancer.net.SocketAddresses;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** How processes see their fleet. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Asks processes how they see their fleet: who is alive, suspected, dead or has left.",
        footer = {
            "%nExample: lb fleet members 127.0.0.1:7946",
            "Example: lb fleet members --diff 127.0.0.1:7946 127.0.0.2:7946",
            "%nExit codes: 0 answered, and with --diff all alike; 1 with --diff: views differ; 2 a bad"
                    + " command line; 3 one does not answer.%n"
        })
final class FleetMembers implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String UNKNOWN = "-";

    @Spec
    private CommandSpec spec;

    @Parameters(
            arity = "1..*",
            paramLabel = "ADDRESS",
            description = "Where a process takes part: the bind" + " or advertise address of its fleet, address:port.")
    private List<String> addresses;

    @Option(names = "--diff", description = "Shows only what the views differ in.")
    private boolean diff;

    @Option(names = "--json", description = "One line of JSON for each process.")
    private boolean json;

    @Option(names = "--timeout-ms", defaultValue = "3000", description = "For each; default ${DEFAULT-VALUE}.")
    private int timeoutMs;

    @Override
    public Integer call() throws IOException {
        Map<String, MembershipView> views = new LinkedHashMap<>();
        for (String address : addresses) {
            InetSocketAddress at = SocketAddresses.parseOrNull(address);
            if (at == null || timeoutMs <= 0) {
                throw new UsageException(
                        at == null
                                ? "ADDRESS = " + address + ": must be address:port"
                                : "--timeout-ms = " + timeoutMs + ": must be above 0");
            }
            try {
                views.put(address, MembershipClient.fetchView(at, timeoutMs));
            } catch (IOException e) {
                throw new IOException(address + " does not answer: " + e.getMessage(), e);
            }
        }
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            views.forEach((address, view) -> out.println(tree(address, view)));
        } else if (!diff) {
            views.forEach((address, view) -> print(out, address, view));
        }
        return diff ? compare(out, views) : ExitCode.OK;
    }

    /** All that a view holds, its own process first. */
    private static List<Member> all(MembershipView view) {
        List<Member> all = new ArrayList<>(List.of(view.self()));
        all.addAll(view.others());
        return all;
    }

    private static String state(Member member) {
        return member.state().name().toLowerCase(Locale.ROOT) + " "
                + member.incarnation().generation() + "." + member.incarnation().refutations();
    }

    private static void print(PrintWriter out, String address, MembershipView view) {
        long live = all(view).stream().filter(m -> m.state().isLive()).count();
        out.printf(
                "%s at %s: %d live, view version %d, digest %016x, doubts itself by %d%n",
                view.self().name(), address, live, view.version(), view.digest(), view.localHealth());
        for (Member m : all(view)) {
            out.printf("  %-24s %-24s zone %-10s role %-10s %s%n", m.name(), m.address(), m.zone(), m.role(), state(m));
        }
        view.metrics().forEach((name, value) -> out.printf("  %s %d%n", name, value));
    }

    private static String tree(String address, MembershipView view) {
        ObjectNode tree = JSON.createObjectNode()
                .put("address", address)
                .put("version", view.version())
                .put("digest", String.format("%016x", view.digest()))
                .put("health", view.localHealth());
        for (Member m : all(view)) {
            tree.withArray("members")
                    .addObject()
                    .put("name", m.name())
                    .put("address", m.address())
                    .put("zone", m.zone())
                    .put("role", m.role())
                    .put("state", m.state().name().toLowerCase(Locale.ROOT))
                    .put("birth", m.incarnation().generation())
                    .put("count", m.incarnation().refutations());
        }
        ObjectNode figures = tree.putObject("figures");
        view.metrics().forEach(figures::put);
        return tree.toString();
    }

    /** A line for each member that is not held for the same by all. */
    private static int compare(PrintWriter out, Map<String, MembershipView> views) {
        TreeSet<String> names = new TreeSet<>();
        views.values().forEach(view -> all(view).forEach(m -> names.add(m.name())));
        int differing = 0;
        for (String name : names) {
            List<String> held = views.values().stream()
                    .map(view -> all(view).stream()
                            .filter(m -> m.name().equals(name))
                            .map(FleetMembers::state)
                            .findFirst()
                            .orElse(UNKNOWN))
                    .toList();
            if (held.stream().distinct().count() > 1) {
                differing++;
                out.println(name);
                int i = 0;
                for (String address : views.keySet()) {
                    out.printf("  %-24s %s%n", address, held.get(i++));
                }
            }
        }
        out.println(differing == 0 ? "all alike" : differing + " of " + names.size() + " differ");
        return differing == 0 ? ExitCode.OK : ExitCode.BROKEN;
    }
}
