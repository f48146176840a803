package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import loadbalancer.Main;

/** Runs the program in a separate process, with the JVM and the class path of the tests. */
final class NodeProgram {
    private static final int SIGTERM_EXIT_CODE = 143;
    private static final Duration LINE_TIMEOUT = Duration.ofSeconds(60);

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

    /**
     * Reads the output up to the first line that matches. Fails if the program ends before that, or if the line does
     * not come within a time that is far longer than a start on a busy machine.
     */
    static String awaitLine(Process program, Predicate<String> awaited) throws Exception {
        return awaitLine(program, awaited, LINE_TIMEOUT);
    }

    /** Reads the output up to the first line that starts with this text. */
    static String awaitLine(Process program, String start) throws Exception {
        return awaitLine(program, line -> line.startsWith(start));
    }

    static String awaitLine(Process program, Predicate<String> awaited, Duration timeout) throws Exception {
        List<String> lines = Collections.synchronizedList(new ArrayList<>());
        FutureTask<String> search = new FutureTask<>(() -> findLine(program, awaited, lines));
        // Not read on this thread: a read from a silent program cannot be interrupted.
        Thread reader = new Thread(search, "program output");
        reader.setDaemon(true);
        reader.start();
        try {
            String found = search.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
            assertNotNull(found, "the program has ended: " + lines);
            return found;
        } catch (TimeoutException e) {
            throw new AssertionError("the line did not come within " + timeout + ": " + lines, e);
        }
    }

    /** Returns the first line that matches, or null if the program has ended, and adds all lines up to it. */
    private static String findLine(Process program, Predicate<String> awaited, List<String> lines) throws IOException {
        String line = program.inputReader().readLine();
        while (line != null) {
            lines.add(line);
            if (awaited.test(line)) {
                return line;
            }
            line = program.inputReader().readLine();
        }
        return null;
    }

    /** Sends SIGTERM and asserts that the program exits after its shutdown hook. */
    static void assertEndsOnSigterm(Process program) throws InterruptedException {
        program.destroy();
        assertTrue(program.waitFor(20, TimeUnit.SECONDS));
        assertEquals(SIGTERM_EXIT_CODE, program.exitValue(), "exit code after SIGTERM");
    }
}
