package loadbalancer.harness.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * A process that the harness has started. It never outlives the harness, however the harness ends: a guard shell
 * reads a pipe from the harness, and kills the process when the pipe closes.
 */
final class ChildProcess implements AutoCloseable {
    /** Size at which an output file is rotated. One older file is kept, so at most twice this much is kept. */
    static final long MAX_OUTPUT_BYTES = 8L << 20;

    private static final long TERMINATION_GRACE_MS = 5_000;
    /**
     * Starts the command ($0) and kills it when standard input closes; its exit code is the command's. The first line
     * is the command's process id. A shell prints its own id and then execs the command: if the id were printed by
     * another process, the output of a quick command could precede it.
     */
    static final String GUARD = "exec 3<&0; sh -c 'echo $$; exec sh -c \"$0\"' \"$0\" </dev/null 3<&- & p=$!;"
            + " { cat <&3; kill -9 $p; } >/dev/null 2>&1 & w=$!; exec 3<&-; wait $p; c=$?;"
            // After its end the id may be reused for another process, which must not be killed.
            + " kill $w; exit $c";

    private final String name;
    private final Process guard;
    private final ProcessHandle process;
    private final Path output;
    private long outputBytes;
    private boolean rotated;

    /**
     * Starts the process and waits for its id.
     *
     * @param command shell command, which must exec the program that it starts
     * @param environment variables that are added to the environment of the harness
     * @param folder working directory
     * @param output file for standard output and standard error
     * @param exitListener called on a separate thread after the process has ended
     */
    ChildProcess(
            String name,
            String command,
            Map<String, String> environment,
            Path folder,
            Path output,
            ExitListener exitListener)
            throws IOException {
        this.name = name;
        this.output = output;
        ProcessBuilder builder = new ProcessBuilder(List.of("sh", "-c", GUARD, command))
                .directory(folder.toFile())
                .redirectErrorStream(true);
        builder.environment().putAll(environment);
        guard = builder.start();
        BufferedReader from = new BufferedReader(new InputStreamReader(guard.getInputStream(), StandardCharsets.UTF_8));
        String id = from.readLine();
        if (id == null) {
            throw new IOException(name + " did not start: no process id was read");
        }
        process = ProcessHandle.of(Long.parseLong(id)).orElse(null);
        Thread outputThread = new Thread(() -> copyOutput(from, exitListener), "output of " + name);
        outputThread.setDaemon(true);
        outputThread.start();
    }

    /** Called after the process has ended, with its exit code. */
    interface ExitListener {
        void onExit(int exitCode);
    }

    private void copyOutput(BufferedReader from, ExitListener exitListener) {
        try (from) {
            OutputStream to = Files.newOutputStream(output);
            try {
                String line = from.readLine();
                while (line != null) {
                    byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
                    if (outputBytes + bytes.length > MAX_OUTPUT_BYTES) {
                        to.close();
                        Files.move(
                                output,
                                output.resolveSibling(output.getFileName() + ".1"),
                                StandardCopyOption.REPLACE_EXISTING);
                        to = Files.newOutputStream(output);
                        outputBytes = 0;
                        rotated = true;
                    }
                    to.write(bytes);
                    outputBytes += bytes.length;
                    line = from.readLine();
                }
            } finally {
                to.close();
            }
            exitListener.onExit(guard.waitFor());
        } catch (IOException e) {
            System.err.println("harness: output of " + name + " cannot be written: " + e);
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether its output has been rotated. */
    boolean isRotated() {
        return rotated;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process == null ? -1 : process.pid();
    }

    /** Sends SIGTERM. */
    void terminate() {
        if (isAlive()) {
            process.destroy();
        }
    }

    /** Sends SIGKILL. */
    void kill() {
        if (isAlive()) {
            process.destroyForcibly();
        }
    }

    /** Sends SIGSTOP or SIGCONT. A process does not notice that it was stopped, except by its clock. */
    void pause(boolean stop) throws IOException {
        signal(stop ? "STOP" : "CONT");
    }

    private void signal(String signal) throws IOException {
        try {
            Process sent = new ProcessBuilder("sh", "-c", "kill -" + signal + " " + pid()).start();
            if (sent.waitFor() != 0) {
                throw new IOException(name + " could not be sent SIG" + signal);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends it by SIGTERM, and by SIGKILL if it has not ended after a grace period. Waits for its end. */
    @Override
    public void close() {
        terminate();
        try {
            if (process != null && isAlive()) {
                process.onExit().get(TERMINATION_GRACE_MS, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            // It ignores SIGTERM: the kill below ends it.
        }
        kill();
        try {
            guard.getOutputStream().close();
            guard.waitFor();
        } catch (IOException e) {
            // The guard has ended with its process.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
