package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.membership.MembershipClient;
import loadbalancer.membership.MembershipConfig;
import loadbalancer.membership.MembershipService;
import loadbalancer.membership.core.MemberState;
import loadbalancer.net.SocketAddresses;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Runs the commands as a user does, and verifies their output and exit codes. */
class FleetTest {
    @TempDir
    private Path directory;

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        CommandLine command = Main.commandLine();
        command.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        return command.execute(arguments);
    }

    private Path scenario(String text) throws Exception {
        return Files.writeString(directory.resolve("scenario.toml"), text);
    }

    @Test
    void scaleMeasuresEachSizeAndItsGrowth() throws Exception {
        Path file = directory.resolve("scale.json");
        assertEquals(
                0,
                run(
                        "fleet",
                        "scale",
                        "--nodes",
                        "1200",
                        "--servers",
                        "200,1000,5000",
                        "--requests",
                        "500",
                        "--json",
                        file.toString()),
                err.toString());
        JsonNode figures = new ObjectMapper().readTree(file.toFile());
        assertEquals(3, figures.path("costs").size());
        assertEquals(5_000, figures.path("costs").get(2).path("servers").asInt());
        JsonNode state = figures.path("growth").path("stateBytes");
        assertTrue(state.path("perServer").asDouble() > 0, state.toString());
        assertTrue(state.path("rSquared").asDouble() > 0.9, state.toString());
    }

    @Test
    void scaleReportsTheInvalidOption() {
        assertEquals(2, run("fleet", "scale", "--servers", "5"));
        assertTrue(err.toString().contains("--servers = [5]: must be two sizes or more"), err.toString());
        assertEquals(2, run("fleet", "scale", "--nodes", "0"));
        assertTrue(err.toString().contains("--nodes = 0: must be at least 1"), err.toString());
    }

    @Test
    void runWithTheSameSeedPrintsTheSameJson() throws Exception {
        String[] arguments = {"fleet", "run", "scenarios/calm.toml", "--seed", "3", "--json", "--set", "length_s=8"};
        assertEquals(0, run(arguments));
        JsonNode first = new ObjectMapper().readTree(out.toString());
        out.getBuffer().setLength(0);
        assertEquals(0, run(arguments));
        assertEquals(first, new ObjectMapper().readTree(out.toString()));
        assertTrue(first.path("kept").asBoolean() && first.path("firstTries").asInt() > 100, first.toString());
    }

    @Test
    void invalidScenarioIsReportedWithAllProblemsAndExitCodeTwo() throws Exception {
        Path bad = scenario("name = \"x\"\n[fleet]\nnodes = 0\n[load]\nper_sekond = 3\n");
        assertEquals(2, run("fleet", "run", bad.toString()));
        assertTrue(err.toString().contains("fleet.nodes = 0: must be a number from 1 to 10000"), err.toString());
        assertTrue(err.toString().contains("load.per_sekond = 3: is not known (meant: per_second?)"), err.toString());
    }

    @Test
    void unknownCommandOrPolicyPrintsSuggestionsWithExitCodeTwo() {
        assertEquals(2, run("fleet", "comapre"));
        assertTrue(err.toString().contains("Did you mean: fleet compare"), err.toString());
        assertEquals(2, run("fleet", "compare", "scenarios/calm.toml", "--b", "best"));
        assertTrue(
                err.toString().contains("must be jar:FILE, a node's jar, or one of least-outstanding, module"),
                err.toString());
        assertEquals(2, run("fleet", "hunt", "scenarios/calm.toml", "--seeds", "0"));
        assertTrue(err.toString().contains("--seeds 0: must be at least 1"), err.toString());
    }

    @Test
    void violatedRulePrintsTheReplayCommandWithExitCodeOne() {
        // The random policy has no slow start. With a low overload threshold, it overloads servers that have just
        // started.
        assertEquals(
                1,
                run(
                        "fleet",
                        "hunt",
                        "scenarios/herd.toml",
                        "--policy",
                        "random",
                        "--seeds",
                        "2",
                        "--set",
                        "rules.fall_multiple=0.3"));
        assertTrue(out.toString().contains("BROKEN ColdServers"), out.toString());
        assertTrue(
                out.toString()
                        .contains(
                                "replay: lb fleet run scenarios/herd.toml --seed 1 --set" + " rules.fall_multiple=0.3"),
                out.toString());
        assertTrue(out.toString().contains("smallest found in"), out.toString());
    }

    @Test
    void policyFromTheNodeJarDecidesLikeTheBuiltInModule() {
        assertEquals(
                0,
                run(
                        "fleet",
                        "compare",
                        "scenarios/calm.toml",
                        "--b",
                        "jar:node/target/load-balancer.jar",
                        "--seeds",
                        "3",
                        "--set",
                        "length_s=8"));
        assertTrue(out.toString().contains("A - B +0.0000 (95%: +0.0000 to +0.0000)"), out.toString());
    }

    @Test
    void reportIsOnePageWithoutExternalLinks() throws Exception {
        Path history = directory.resolve("jam.jsonl");
        assertEquals(
                0, run("fleet", "run", "scenarios/jam.toml", "--history", history.toString(), "--set", "length_s=30"));
        Path page = directory.resolve("report.html");
        assertEquals(0, run("fleet", "report", directory.toString(), "--out", page.toString()));
        String html = Files.readString(page);
        assertTrue(html.contains("jam, seed 1, simulated") && html.contains("data:image/png;base64,"));
        assertFalse(html.contains("http"), "external link");
        assertEquals(2, run("fleet", "report", directory.resolve("none").toString()));
    }

    @Test
    void invalidDayFileIsRejectedWithExitCodeTwo() throws Exception {
        Path day = Files.writeString(directory.resolve("day.json"), "{\"v\":1}");
        assertEquals(2, run("fleet", "import", day.toString()));
        assertTrue(err.toString().contains("is no day"), err.toString());
    }

    private static String freeAddress() throws Exception {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + any.getLocalPort();
        }
    }

    private static MembershipService member(String name, String at, String seed) throws Exception {
        return MembershipService.join(MembershipConfig.read(
                new ObjectMapper()
                        .createObjectNode()
                        .put("name", "told")
                        .put("bind", at)
                        .put("periodMs", 200)
                        .set("seeds", new ObjectMapper().createArrayNode().add(seed)),
                name));
    }

    /** Waits until the view of a process contains a member in this state. */
    private static void awaitState(String address, String member, MemberState state) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!viewContains(address, member, state)) {
            assertTrue(System.nanoTime() < endNanos, address + " does not have " + member + " as " + state);
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    private static boolean viewContains(String address, String member, MemberState state) {
        try {
            return MembershipClient.fetchView(SocketAddresses.parseOrNull(address), 2_000).others().stream()
                    .anyMatch(other -> other.name().equals(member) && other.state() == state);
        } catch (IOException e) {
            // The process does not listen yet; the caller tries again.
            return false;
        }
    }

    @Test
    void membersPrintsTheViewsOfProcessesAndTheirDifferences() throws Exception {
        String first = freeAddress();
        String second = freeAddress();
        MembershipService one = member("one", first, second);
        MembershipService two = member("two", second, first);
        try {
            awaitState(first, "two", MemberState.ALIVE);
            awaitState(second, "one", MemberState.ALIVE);
            assertEquals(0, run("fleet", "members", first));
            assertTrue(out.toString().startsWith("one at " + first + ": 2 live"), out.toString());
            assertTrue(out.toString().contains("two") && out.toString().contains("alive"), out.toString());
            out.getBuffer().setLength(0);
            assertEquals(0, run("fleet", "members", "--diff", first, second));
            assertEquals("all equal", out.toString().strip());
            two.leave();
            awaitState(first, "two", MemberState.LEFT);
            out.getBuffer().setLength(0);
            assertEquals(0, run("fleet", "members", "--json", first));
            JsonNode view = new ObjectMapper().readTree(out.toString());
            assertEquals("left", view.path("members").path(1).path("state").asText());
            assertEquals(3, run("fleet", "members", "--timeout-ms", "500", second));
            assertTrue(err.toString().contains(second + " does not respond"), err.toString());
            assertEquals(2, run("fleet", "members", "nowhere"));
        } finally {
            one.leave();
        }
    }

    @Test
    void studyPrintsDetectionTimesAndFalsePositives() {
        assertEquals(0, run("fleet", "study", "--sizes", "5", "--seeds", "3", "--false-seconds", "60"));
        assertTrue(out.toString().contains("5 members: a member sends"), out.toString());
        assertTrue(out.toString().contains("with default settings: false failures 0"), out.toString());
        assertFalse(out.toString().contains("never"), out.toString());
        assertEquals(2, run("fleet", "study", "--sizes", "2"));
    }
}
