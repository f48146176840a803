package loadbalancer.harness.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import loadbalancer.harness.fault.Faults;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.run.Outcome;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.scenario.ScenarioFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs small fleets of node processes. Requires the packaged jar of the node. */
class ProcessRunTest {
    private static final String FLEET = """
            name = "small"
            length_s = 5
            [fleet]
            nodes = 2
            servers = 6
            [load]
            per_second = 30
            [net]
            cross_zone_ms = 1
            [server]
            cold_s = 2
            """;

    @TempDir
    private Path folder;

    private final Map<Kind, Integer> counts = new ConcurrentHashMap<>();
    private final Set<String> outcomes = ConcurrentHashMap.newKeySet();
    private final List<Long> pids = new ArrayList<>();

    private Outcome run(String more) throws Exception {
        return run(more, begun -> {});
    }

    private Outcome run(String more, Consumer<ProcessRun> prepare) throws Exception {
        return run(more, prepare, DeployFile.find(Path.of("")));
    }

    private Outcome run(String more, Consumer<ProcessRun> prepare, DeployFile deploy) throws Exception {
        Scenario scenario = ScenarioFile.parse(FLEET + more, Map.of(), Faults.names());
        try (ProcessRun run = new ProcessRun(scenario, 1, deploy, folder, null, this::count)) {
            prepare.accept(run);
            return run.run((nowUs, testbed) -> {
                if (pids.isEmpty()) {
                    pids.addAll(run.pids());
                }
            });
        } finally {
            for (long pid : pids) {
                assertFalse(ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false), "left: " + pid);
            }
        }
    }

    private void count(Event event) {
        if (event.kind() == Kind.OUTCOME) {
            outcomes.add(event.text("result"));
        }
        counts.merge(event.kind(), 1, Integer::sum);
    }

    @Test
    void fleetOfProcessesRoutesAroundFaultsAndKeepsTheRules() throws Exception {
        Outcome outcome = run("""
                [[fault]]
                kind = "fast_errors"
                at_s = 1
                length_s = 2
                part = 0.17
                size = 1
                [[fault]]
                kind = "cordoned"
                at_s = 2
                length_s = 2
                part = 0.17
                """);
        assertEquals(List.of(), outcome.violations());
        assertEquals(2, pids.size());
        assertTrue(outcome.score().inTime() > 0.5 * outcome.score().firstTries(), outcome.toString());
        assertEquals(2, counts.get(Kind.CORDON));
        assertTrue(counts.get(Kind.SEND) >= counts.get(Kind.SERVED));
    }

    @Test
    void killedNodesAndCrashedServersAreRestarted() throws Exception {
        Outcome outcome = run("""
                [[fault]]
                kind = "herd"
                at_s = 1
                part = 0.5
                size = 0.5
                [[fault]]
                kind = "crash"
                at_s = 1.5
                length_s = 1
                part = 0.17
                """);
        assertEquals(List.of(), outcome.violations());
        // Two nodes and six servers, and one restart of each kind.
        assertEquals(10, counts.get(Kind.STARTED));
        assertEquals(2, counts.get(Kind.KILLED));
    }

    @Test
    void lostResponsesAndResetLinksViolateNoRule() throws Exception {
        Outcome outcome = run("""
                [[fault]]
                kind = "slow_links"
                at_s = 0.5
                length_s = 2
                part = 0.34
                size = 30
                [[fault]]
                kind = "lost_answers"
                at_s = 1
                length_s = 2
                part = 0.17
                [[fault]]
                kind = "resets"
                at_s = 2
                length_s = 2
                part = 0.34
                size = 0.2
                """);
        assertEquals(List.of(), outcome.violations());
        // Attempts that a node gave up are recorded as cancelled, as the servers observe them.
        assertTrue(outcomes.contains("CANCELLED"), outcomes.toString());
    }

    /** Returns a transformation of text that arrives in one buffer; it must keep the length. */
    private static UnaryOperator<ByteBuf> changing(UnaryOperator<String> change) {
        return bytes -> {
            String text = bytes.toString(StandardCharsets.ISO_8859_1);
            bytes.release();
            return Unpooled.copiedBuffer(change.apply(text), StandardCharsets.ISO_8859_1);
        };
    }

    /** A corrupted response of a fake must be reported: the checkers must not trust the harness itself. */
    @Test
    void misdirectedResponseIsDetected() throws Exception {
        Outcome outcome = run(
                "",
                run -> run.link(0, "s0")
                        .tamper(
                                FaultLink.Direction.FROM_TARGET,
                                changing(text -> text.startsWith("HTTP/1.1 200")
                                        ? text.substring(0, text.length() - 1) + "x"
                                        : text)));
        assertTrue(
                outcome.violations().stream().anyMatch(v -> v.rule().equals("OneAnswer")),
                outcome.violations().toString());
    }

    @Test
    void listThatDoesNotAnnounceDrainsIsDetected() throws Exception {
        Outcome outcome = run(
                """
                [rules]
                drain_grace_ms = 50
                [[fault]]
                kind = "release"
                at_s = 0.5
                length_s = 4
                part = 0.5
                """,
                run -> run.listLink(0)
                        .tamper(
                                FaultLink.Direction.FROM_TARGET,
                                changing(text -> text.replace("\"Terminating\"", "\"Ready\"      "))));
        assertTrue(
                outcome.violations().stream().anyMatch(v -> v.rule().equals("Drains")),
                outcome.violations().toString());
    }

    /**
     * Guards against a failed start that tells nothing: the run must not wait for a node that has ended, and its
     * message must contain the exit code and the end of the log, which is deleted with the folder of the run.
     */
    @Test
    void nodeThatEndsAtItsStartFailsTheRunWithItsLog() {
        DeployFile deploy = new DeployFile(folder, "exec sh -c 'echo no such option; exit 3'");
        IOException failure = assertThrows(IOException.class, () -> run("", begun -> {}, deploy));
        assertTrue(failure.getMessage().contains("a node ended before it was up"), failure.getMessage());
        assertTrue(failure.getMessage().contains("exit code 3"), failure.getMessage());
        assertTrue(failure.getMessage().contains("no such option"), failure.getMessage());
    }

    @Test
    void nodesThatShutDownLoseNoRequest() throws Exception {
        Outcome outcome = run("""
                [[fault]]
                kind = "rolling_restart"
                at_s = 0.5
                length_s = 2
                part = 0.5
                """);
        assertEquals(List.of(), outcome.violations());
        assertEquals(1, counts.get(Kind.ENDING));
        assertEquals(1, counts.get(Kind.KILLED));
    }
}
