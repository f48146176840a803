package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Tests how tests wait for the output of a program. */
class NodeProgramTest {
    private static Process shell(String script) throws Exception {
        return new ProcessBuilder("sh", "-c", script).start();
    }

    @Test
    void returnsTheAwaitedLine() throws Exception {
        assertEquals("second", NodeProgram.awaitLine(shell("echo first; echo second"), "sec"));
    }

    @Test
    void failsWhenTheProgramEnds() throws Exception {
        Process program = shell("echo first");
        AssertionError failure = assertThrows(AssertionError.class, () -> NodeProgram.awaitLine(program, "sec"));
        assertTrue(failure.getMessage().contains("[first]"), failure.getMessage());
    }

    /** Guards against a test that hangs without a word, for example where a program ignores the signal it is sent. */
    @Test
    void failsWithWhatItHasReadWhenTheLineDoesNotCome() throws Exception {
        Process program = shell("echo first; exec sleep 600");
        try {
            AssertionError failure = assertThrows(
                    AssertionError.class,
                    () -> NodeProgram.awaitLine(program, line -> line.startsWith("sec"), Duration.ofSeconds(1)));
            assertTrue(failure.getMessage().contains("did not come"), failure.getMessage());
        } finally {
            program.destroyForcibly();
        }
    }
}
