package loadbalancer.harness.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChildProcessTest {
    @TempDir
    private Path folder;

    private final BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();

    private ChildProcess start(String command) throws IOException {
        return new ChildProcess(
                "child", command, Map.of("GREETING", "hello"), folder, folder.resolve("log"), codes::add);
    }

    private static void await(BooleanSupplier isMet) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isMet.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "waited in vain");
            Thread.onSpinWait();
        }
    }

    private String output() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return "";
        }
    }

    @Test
    void exitCodeAndOutputAreThoseOfTheProcess() throws Exception {
        try (ChildProcess child = start("echo $GREETING; echo again >&2; exit 7")) {
            assertEquals(7, codes.poll(20, TimeUnit.SECONDS));
            assertEquals("hello\nagain\n", output());
            assertFalse(child.isAlive());
        }
    }

    /**
     * The first line of output is read as the process id. Output of a quick process could precede the id and fail the
     * start at random.
     */
    @Test
    void processIdPrecedesAllOutputOfTheProcess() throws Exception {
        for (int i = 0; i < 200; i++) {
            try (ChildProcess child = start("echo quick")) {
                assertEquals(0, codes.poll(20, TimeUnit.SECONDS));
                assertEquals("quick\n", output());
                assertFalse(child.isAlive());
            }
        }
    }

    @Test
    void processThatIgnoresSigtermIsKilled() throws Exception {
        ChildProcess child = start("exec sh -c 'trap \"\" TERM; echo up; while :; do read x; done </dev/zero'");
        await(() -> output().startsWith("up"));
        child.terminate();
        assertTrue(child.isAlive());
        child.close();
        assertFalse(child.isAlive());
        assertEquals(137, codes.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void processEndsWithTheHarnessEvenIfThatIsKilled() throws Exception {
        // The guard's pipe closes with the process that holds its other end, here a shell in the role of the
        // harness.
        Path id = folder.resolve("id");
        Process harness = new ProcessBuilder(
                        "sh",
                        "-c",
                        "sleep 1000 | sh -c \"$0\" 'exec sleep 999' >" + id + " & exec sleep 1000",
                        ChildProcess.GUARD)
                .start();
        await(() -> Files.exists(id) && id.toFile().length() > 1);
        long pid = Long.parseLong(Files.readString(id).strip());
        assertTrue(ProcessHandle.of(pid).orElseThrow().isAlive());
        // The write end closes as that of the harness does when the harness is killed.
        harness.descendants()
                .filter(p -> p.info().commandLine().orElse("").endsWith("sleep 1000"))
                .forEach(ProcessHandle::destroyForcibly);
        harness.destroyForcibly();
        await(() -> ProcessHandle.of(pid).map(p -> !p.isAlive()).orElse(true));
    }

    @Test
    void newestOutputOfAProcessThatPrintsEndlesslyIsRetained() throws Exception {
        try (ChildProcess child = start("exec yes 0123456789012345678901234567890123456789")) {
            await(child::isRotated);
            child.kill();
            assertEquals(137, codes.poll(20, TimeUnit.SECONDS));
            assertTrue(Files.size(folder.resolve("log")) <= ChildProcess.MAX_OUTPUT_BYTES);
            assertTrue(Files.size(folder.resolve("log.1")) <= ChildProcess.MAX_OUTPUT_BYTES);
        }
    }

    @Test
    void pausedProcessDoesNothingUntilItIsResumed() throws Exception {
        try (ChildProcess child = start("exec sh -c 'i=0; while :; do i=$((i+1)); echo $i; sleep 0.01; done'")) {
            await(() -> output().contains("3\n"));
            child.pause(true);
            String state = "State:\tT";
            await(() -> status(child).contains(state));
            child.pause(false);
            await(() -> !status(child).contains(state));
            String before = output();
            await(() -> output().length() > before.length());
        }
    }

    private static String status(ChildProcess child) {
        try {
            return Files.readString(Path.of("/proc/" + child.pid() + "/status"));
        } catch (IOException e) {
            return "";
        }
    }
}
