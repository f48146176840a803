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

/** The command {@code lb fleet members}: prints the membership views of running processes. */
@Command(
        name = "members",
        mixinStandardHelpOptions = true,
        description = "Prints the members of a fleet as running processes see them: alive, suspect, dead or left.",
        footer = {
            "%nExample: lb fleet members 127.0.0.1:7946",
            "Example: lb fleet members --diff 127.0.0.1:7946 127.0.0.2:7946",
            "%nExit codes: 0 all processes responded, and with --diff all views are equal; 1 with --diff: views"
                    + " differ; 2 the command line is invalid; 3 a process does not respond.%n"
        })
final class FleetMembers implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Printed for a member that a view does not contain. */
    private static final String UNKNOWN = "-";

    @Spec
    private CommandSpec spec;

    @Parameters(
            arity = "1..*",
            paramLabel = "ADDRESS",
            description = "Membership address of a process, address:port: the bind"
                    + " or advertise address of its configuration.")
    private List<String> addresses;

    @Option(names = "--diff", description = "Prints only the members on which the views differ.")
    private boolean diff;

    @Option(names = "--json", description = "Prints one line of JSON for each process.")
    private boolean json;

    @Option(
            names = "--timeout-ms",
            defaultValue = "3000",
            description = "Timeout for each process in milliseconds; default ${DEFAULT-VALUE}.")
    private int timeoutMs;

    @Override
    public Integer call() throws IOException {
        Map<String, MembershipView> views = fetchViews();
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            views.forEach((address, view) -> out.println(toJson(address, view)));
        } else if (!diff) {
            views.forEach((address, view) -> print(out, address, view));
        }
        return diff ? printDifferences(out, views) : ExitCode.OK;
    }

    private Map<String, MembershipView> fetchViews() throws IOException {
        if (timeoutMs <= 0) {
            throw new UsageException("--timeout-ms = " + timeoutMs + ": must be above 0");
        }
        Map<String, MembershipView> views = new LinkedHashMap<>();
        for (String address : addresses) {
            views.put(address, fetchView(address));
        }
        return views;
    }

    private MembershipView fetchView(String address) throws IOException {
        InetSocketAddress parsed = SocketAddresses.parseOrNull(address);
        if (parsed == null) {
            throw new UsageException("ADDRESS = " + address + ": must be address:port");
        }
        try {
            return MembershipClient.fetchView(parsed, timeoutMs);
        } catch (IOException e) {
            throw new IOException(address + " does not respond: " + e.getMessage(), e);
        }
    }

    /** Returns all members of a view, the responding process first. */
    private static List<Member> members(MembershipView view) {
        List<Member> members = new ArrayList<>(List.of(view.self()));
        members.addAll(view.others());
        return members;
    }

    private static String stateName(Member member) {
        return member.state().name().toLowerCase(Locale.ROOT);
    }

    private static String stateAndIncarnation(Member member) {
        return stateName(member) + " " + member.incarnation().generation() + "."
                + member.incarnation().refutations();
    }

    private static void print(PrintWriter out, String address, MembershipView view) {
        long live =
                members(view).stream().filter(member -> member.state().isLive()).count();
        out.printf(
                "%s at %s: %d live, view version %d, digest %016x, local health score %d%n",
                view.self().name(), address, live, view.version(), view.digest(), view.localHealth());
        for (Member member : members(view)) {
            out.printf(
                    "  %-24s %-24s zone %-10s role %-10s %s%n",
                    member.name(), member.address(), member.zone(), member.role(), stateAndIncarnation(member));
        }
        view.metrics().forEach((name, value) -> out.printf("  %s %d%n", name, value));
    }

    /** Some keys differ from the names in the code. Scripts of operators read them, so they must not change. */
    private static String toJson(String address, MembershipView view) {
        ObjectNode tree = JSON.createObjectNode()
                .put("address", address)
                .put("version", view.version())
                .put("digest", String.format("%016x", view.digest()))
                .put("health", view.localHealth());
        for (Member member : members(view)) {
            tree.withArray("members")
                    .addObject()
                    .put("name", member.name())
                    .put("address", member.address())
                    .put("zone", member.zone())
                    .put("role", member.role())
                    .put("state", stateName(member))
                    .put("birth", member.incarnation().generation())
                    .put("count", member.incarnation().refutations());
        }
        ObjectNode metrics = tree.putObject("figures");
        view.metrics().forEach(metrics::put);
        return tree.toString();
    }

    /**
     * Prints each member on which the views differ, with its state and incarnation in each view.
     *
     * @return the exit code
     */
    private static int printDifferences(PrintWriter out, Map<String, MembershipView> views) {
        TreeSet<String> names = new TreeSet<>();
        views.values().forEach(view -> members(view).forEach(member -> names.add(member.name())));
        int differing = 0;
        for (String name : names) {
            Map<String, String> stateByAddress = new LinkedHashMap<>();
            views.forEach((address, view) -> stateByAddress.put(address, stateOf(view, name)));
            if (stateByAddress.values().stream().distinct().count() > 1) {
                differing++;
                out.println(name);
                stateByAddress.forEach((address, state) -> out.printf("  %-24s %s%n", address, state));
            }
        }
        out.println(differing == 0 ? "all equal" : differing + " of " + names.size() + " differ");
        return differing == 0 ? ExitCode.OK : ExitCode.CHECK_FAILED;
    }

    private static String stateOf(MembershipView view, String name) {
        return members(view).stream()
                .filter(member -> member.name().equals(name))
                .map(FleetMembers::stateAndIncarnation)
                .findFirst()
                .orElse(UNKNOWN);
    }
}
