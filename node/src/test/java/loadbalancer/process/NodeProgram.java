package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
        List<String> command = javaCommand(jvmOptions);
        command.addAll(List.of(Main.class.getName(), "node"));
        return command;
    }

    private static List<String> javaCommand(String... jvmOptions) {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElseThrow());
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        return command;
    }

    /** Starts a node. Its output contains its log. */
    static Process start(Map<String, String> env, String... jvmOptions) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(jvmOptions));
        builder.environment().putAll(env);
        return builder.redirectErrorStream(true).start();
    }

    /** A node in a process of its own that serves clients on this port of the loopback interface. */
    record RunningNode(Process process, int port) implements AutoCloseable {
        Socket connect() throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout(20_000);
            return socket;
        }

        /** Sends a signal, such as STOP. */
        void signal(String name) throws Exception {
            Process kill = new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start();
            assertEquals(0, kill.waitFor(), "exit code of kill");
        }

        /** Fails with the end of the log if the process has ended. */
        void assertAlive() throws IOException {
            if (!process.isAlive()) {
                String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                throw new AssertionError("the process has ended with " + process.exitValue() + ": " + log);
            }
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    /**
     * Starts a node with a small heap, for requests of the classes page and order that may take a minute, and waits
     * until it serves clients. It ends if it runs out of memory.
     *
     * @param folder a folder for its configuration
     * @param discovery the address of its discovery service
     * @param servers the addresses of the servers that it knows at its start, which get the ids s0, s1, ...
     */
    static RunningNode startWithHeap(
            Path folder, int heapMb, int directMemoryMb, String discovery, List<String> servers) throws Exception {
        List<String> command = command(
                "-Xmx" + heapMb + "m",
                "-XX:MaxDirectMemorySize=" + directMemoryMb + "m",
                "-XX:+ExitOnOutOfMemoryError");
        return startServing(command, configure(folder, 512, discovery, servers));
    }

    /**
     * Starts a node under a limit of file descriptors that the system enforces, for requests as in {@link
     * #startWithHeap}, and waits until it serves clients.
     */
    static RunningNode startWithDescriptors(Path folder, int descriptors, String discovery, List<String> servers)
            throws Exception {
        List<String> command =
                new ArrayList<>(List.of("/bin/sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh"));
        command.addAll(command("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        return startServing(command, configure(folder, descriptors, discovery, servers));
    }

    /** Starts a main class of the tests that runs a node, and waits until the node serves clients. */
    static RunningNode startProgram(Path folder, Class<?> mainClass, String argument) throws Exception {
        List<String> command = javaCommand();
        command.addAll(List.of(mainClass.getName(), argument));
        return startServing(command, configure(folder, 512, "127.0.0.1:9", List.of("127.0.0.1:9")));
    }

    private static Path configure(Path folder, int sockets, String discovery, List<String> servers) throws IOException {
        String[] entries = new String[servers.size()];
        for (int i = 0; i < entries.length; i++) {
            entries[i] = "s" + i + "=" + servers.get(i) + "=Ready";
        }
        return Files.writeString(folder.resolve("config.json"), """
                {"listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":%d},
                 "known":%s,
                 "settings":{"zones":["here"],"limits":{"attemptsCap":4},
                 "classes":[{"name":"page","onTimeUs":60000000,"giveUpUs":60000000,"repeat":"safe"},
                  {"name":"order","onTimeUs":60000000,"giveUpUs":60000000,"repeat":"unsafe"}]}}
                """.formatted(
                        discovery, sockets, NodeHarness.endpointList(1, true, entries)));
    }

    private static RunningNode startServing(List<String> command, Path config) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", config.toString());
        Process program = builder.start();
        try {
            String line = awaitLine(program, "level=info event=listening ");
            return new RunningNode(program, Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
        } catch (Exception | AssertionError e) {
            program.destroyForcibly();
            throw e;
        }
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
