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
 * A process that the rig has started and ends by its id. It ends with the rig, however that ends: a shell
 * beside it reads a pipe from the rig, and kills it when that closes.
 */
final class NodeProcess implements AutoCloseable {
    /** Of what it prints the newest is kept: twice so much at the most. */
    static final long MAX_OUTPUT_BYTES = 8L << 20;

    private static final long GRACE_MS = 5_000;
    /**
     * Starts the command ($0) and kills it when standard input closes; its exit code is the command's. The first line
     * is the command's process id. A shell prints its own id and then becomes the command: were the id printed beside
     * the command, a quick one's output could come ahead of it.
     */
    static final String GUARD = "exec 3<&0; sh -c 'echo $$; exec sh -c \"$0\"' \"$0\" </dev/null 3<&- & p=$!;"
            + " { cat <&3; kill -9 $p; } >/dev/null 2>&1 & w=$!; exec 3<&-; wait $p; c=$?;"
            // Once it has ended its id may be another's: nobody may be killed by it any more.
            + " kill $w; exit $c";

    private final String name;
    private final Process guard;
    private final ProcessHandle process;
    private final Path output;
    private long printed;
    private boolean cut;

    /**
     * Starts it.
     *
     * @param command for the shell; it has to exec what it starts
     * @param environment added to the rig's own
     * @param output where what it prints goes
     * @param ended called from a thread of its own, with the exit code
     */
    NodeProcess(String name, String command, Map<String, String> environment, Path folder, Path output, Ended ended)
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
            throw new IOException(name + " did not start");
        }
        process = ProcessHandle.of(Long.parseLong(id)).orElse(null);
        Thread pump = new Thread(() -> pump(from, ended), "output of " + name);
        pump.setDaemon(true);
        pump.start();
    }

    /** Told once it has ended. */
    interface Ended {
        void ended(int code);
    }

    private void pump(BufferedReader from, Ended ended) {
        try (from) {
            OutputStream to = Files.newOutputStream(output);
            try {
                String line = from.readLine();
                while (line != null) {
                    byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
                    if (printed + bytes.length > MAX_OUTPUT_BYTES) {
                        to.close();
                        Files.move(
                                output,
                                output.resolveSibling(output.getFileName() + ".1"),
                                StandardCopyOption.REPLACE_EXISTING);
                        to = Files.newOutputStream(output);
                        printed = 0;
                        cut = true;
                    }
                    to.write(bytes);
                    printed += bytes.length;
                    line = from.readLine();
                }
            } finally {
                to.close();
            }
            ended.ended(guard.waitFor());
        } catch (IOException e) {
            System.err.println("rig: output of " + name + " is lost: " + e);
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether its oldest output has been dropped. */
    boolean isCut() {
        return cut;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    long pid() {
        return process == null ? -1 : process.pid();
    }

    /** SIGTERM. */
    void terminate() {
        if (isAlive()) {
            process.destroy();
        }
    }

    /** SIGKILL. */
    void kill() {
        if (isAlive()) {
            process.destroyForcibly();
        }
    }

    /** SIGSTOP, and SIGCONT: it comes back believing that no time has passed. */
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

    /** Ends it: asked first, and killed if that does not help in time. */
    @Override
    public void close() {
        terminate();
        try {
            if (process != null && isAlive()) {
                process.onExit().get(GRACE_MS, TimeUnit.MILLISECONDS);
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
