package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.ConfigException;
import loadbalancer.config.NodeConfigReader;
import loadbalancer.eventloop.MeasuredEventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process whose event loop ends by itself. */
class EndedLoopTest {
    private static final String IN_OPERATION = "in operation";
    private static final String DURING_DRAIN = "during drain";

    /** Runs a node and ends its event loop, in operation or in the middle of the drain. */
    public static final class Program {
        private static final MeasuredEventLoop LOOP = new MeasuredEventLoop("node", false);

        private Program() {}

        public static void main(String[] args) throws ConfigException {
            ProcessLifecycle process = new ProcessLifecycle(NodeConfigReader.read(System.getenv()), LOOP);
            process.start(System.getenv(), null);
            if (args[0].equals(IN_OPERATION)) {
                endLoop();
            } else {
                Runtime.getRuntime().addShutdownHook(new Thread(Program::endLoop));
            }
            process.awaitEndOfLoop();
        }

        private static void endLoop() {
            // Lets the drain begin first; it lasts for half a second, as connections are accepted for so long.
            LOOP.schedule(() -> LOOP.shutdownGracefully(0, 0, TimeUnit.SECONDS), 200, TimeUnit.MILLISECONDS);
        }
    }

    @TempDir
    private Path folder;

    /** Guards against exit code 0 for a process that has ended with requests open. */
    @Test
    void processWhoseLoopEndsExitsWithAnError() throws Exception {
        try (NodeProgram.RunningNode node = NodeProgram.startProgram(folder, Program.class, IN_OPERATION)) {
            assertTrue(node.process().waitFor(20, TimeUnit.SECONDS));
            assertEquals(ProcessLifecycle.EXIT_LOOP_ENDED, node.process().exitValue());
        }
    }

    /** Guards against a drain that waits for a loop that has ended, or reports that it has drained. */
    @Test
    void processWhoseLoopEndsDuringItsDrainExitsWithAnError() throws Exception {
        try (NodeProgram.RunningNode node = NodeProgram.startProgram(folder, Program.class, DURING_DRAIN)) {
            node.signal("TERM");
            assertTrue(node.process().waitFor(20, TimeUnit.SECONDS));
            assertEquals(ProcessLifecycle.EXIT_LOOP_ENDED, node.process().exitValue());
        }
    }
}
