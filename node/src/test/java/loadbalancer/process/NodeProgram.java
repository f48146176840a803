package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import loadbalancer.Main;

/** Runs the program in a separate process, with the JVM and the class path of the tests. */
final class NodeProgram {
    private static final int SIGTERM_EXIT_CODE = 143;

    private NodeProgram() {}

    /** Returns the command that runs a node with these JVM options. */
    static List<String> command(String... jvmOptions) {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElseThrow());
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName(), "node"));
        return command;
    }

    /** Starts a node. Its output contains its log. */
    static Process start(Map<String, String> env, String... jvmOptions) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(jvmOptions));
        builder.environment().putAll(env);
        return builder.redirectErrorStream(true).start();
    }

    /** Reads the output up to the first line that matches. Fails if the program ends before that. */
    static String awaitLine(Process program, Predicate<String> awaited) throws IOException {
        List<String> lines = new ArrayList<>();
        while (true) {
            String line = program.inputReader().readLine();
            assertNotNull(line, "the program has ended: " + lines);
            lines.add(line);
            if (awaited.test(line)) {
                return line;
            }
        }
    }

    /** Reads the output up to the first line that starts with this text. */
    static String awaitLine(Process program, String start) throws IOException {
        return awaitLine(program, line -> line.startsWith(start));
    }

    /** Sends SIGTERM and asserts that the program exits after its shutdown hook. */
    static void assertEndsOnSigterm(Process program) throws InterruptedException {
        program.destroy();
        assertTrue(program.waitFor(20, TimeUnit.SECONDS));
        assertEquals(SIGTERM_EXIT_CODE, program.exitValue(), "exit code after SIGTERM");
    }
}
