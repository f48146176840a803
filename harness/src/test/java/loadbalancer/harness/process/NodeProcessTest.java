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

class NodeProcessTest {
    @TempDir
    private Path folder;

    private final BlockingQueue<Integer> codes = new LinkedBlockingQueue<>();

    private NodeProcess start(String command) throws IOException {
        return new NodeProcess(
                "child", command, Map.of("GREETING", "hello"), folder, folder.resolve("log"), codes::add);
    }

    private static void await(BooleanSupplier holds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "waited in vain");
            Thread.onSpinWait();
        }
    }

    private String printed() {
        try {
            return Files.readString(folder.resolve("log"));
        } catch (IOException e) {
            return "";
        }
    }

    @Test
    void exitCodeAndOutputAreThoseOfTheProcess() throws Exception {
        try (NodeProcess child = start("echo $GREETING; echo again >&2; exit 7")) {
            assertEquals(7, codes.poll(20, TimeUnit.SECONDS));
            assertEquals("hello\nagain\n", printed());
            assertFalse(child.isAlive());
        }
    }

    /**
     * A process prints as soon as it runs. The rig takes the first line for the process's id, so that output that came
     * ahead of it broke the start by chance. The id comes first, however quick the process is.
     */
    @Test
    void idComesAheadOfAnythingThatTheProcessPrints() throws Exception {
        for (int i = 0; i < 200; i++) {
            try (NodeProcess child = start("echo quick")) {
                assertEquals(0, codes.poll(20, TimeUnit.SECONDS));
                assertEquals("quick\n", printed());
                assertFalse(child.isAlive());
            }
        }
    }

    @Test
    void processThatIgnoresSigtermIsKilled() throws Exception {
        NodeProcess child = start("exec sh -c 'trap \"\" TERM; echo up; while :; do read x; done </dev/zero'");
        await(() -> printed().startsWith("up"));
        child.terminate();
        assertTrue(child.isAlive());
        child.close();
        assertFalse(child.isAlive());
        assertEquals(137, codes.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void processEndsWithTheRigHoweverThatEnds() throws Exception {
        // The guard's pipe closes with the process that holds its other end: here a shell that stands in for
        // the rig.
        Path id = folder.resolve("id");
        Process rig = new ProcessBuilder(
                        "sh",
                        "-c",
                        "sleep 1000 | sh -c \"$0\" 'exec sleep 999' >" + id + " & exec sleep 1000",
                        NodeProcess.GUARD)
                .start();
        await(() -> Files.exists(id) && id.toFile().length() > 1);
        long pid = Long.parseLong(Files.readString(id).strip());
        assertTrue(ProcessHandle.of(pid).orElseThrow().isAlive());
        // The writer's end goes as the rig's does when it is killed.
        rig.descendants()
                .filter(p -> p.info().commandLine().orElse("").endsWith("sleep 1000"))
                .forEach(ProcessHandle::destroyForcibly);
        rig.destroyForcibly();
        await(() -> ProcessHandle.of(pid).map(p -> !p.isAlive()).orElse(true));
    }

    @Test
    void newestOutputOfAProcessThatPrintsWithoutEndIsRetained() throws Exception {
        try (NodeProcess child = start("exec yes 0123456789012345678901234567890123456789")) {
            await(child::isCut);
            child.kill();
            assertEquals(137, codes.poll(20, TimeUnit.SECONDS));
            assertTrue(Files.size(folder.resolve("log")) <= NodeProcess.MAX_OUTPUT_BYTES);
            assertTrue(Files.size(folder.resolve("log.1")) <= NodeProcess.MAX_OUTPUT_BYTES);
        }
    }

    @Test
    void pausedProcessDoesNothingUntilItIsResumed() throws Exception {
        try (NodeProcess child = start("exec sh -c 'i=0; while :; do i=$((i+1)); echo $i; sleep 0.01; done'")) {
            await(() -> printed().contains("3\n"));
            child.pause(true);
            String state = "State:\tT";
            await(() -> status(child).contains(state));
            child.pause(false);
            await(() -> !status(child).contains(state));
            String before = printed();
            await(() -> printed().length() > before.length());
        }
    }

    private static String status(NodeProcess child) {
        try {
            return Files.readString(Path.of("/proc/" + child.pid() + "/status"));
        } catch (IOException e) {
            return "";
        }
    }
}
