package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Graceful restarts: two processes of one node accept on the listening socket of the platform in succession. */
class RestartTest {
    private static final int CLIENTS = 4;

    /** A Perl stand-in for the platform. It starts nodes with its listening socket as descriptor 0, as Java cannot. */
    private static final String PLATFORM = """
            use Socket; use POSIX (); $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(my $held, PF_INET, SOCK_STREAM, 0) or die;
            bind($held, sockaddr_in(0, INADDR_LOOPBACK)) or die;
            if ($ARGV[0] eq 'listen') { listen($held, 128) or die }
            print((sockaddr_in(getsockname($held)))[0], "\\n");
            while (my $line = <STDIN>) {
              chomp $line; my ($log, $control, @program) = split /\\t/, $line; my $pid = fork;
              if (!$pid) {
                open(STDOUT, '>', $log); open(STDERR, '>&', STDOUT); POSIX::dup2(fileno($held), 0);
                $ENV{PROXY_CONTROL} = $control; exec @program or die;
              }
              print "$pid\\n";
            }
            """;

    private static Process platform(String socket, Map<String, String> env) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("perl", "-e", PLATFORM, socket);
        builder.environment().putAll(env);
        return builder.redirectError(ProcessBuilder.Redirect.INHERIT).start();
    }

    /** Makes the platform start a node on its socket. The node logs to this file. */
    private static ProcessHandle startNode(Process platform, Path log) throws IOException {
        Writer in = platform.outputWriter();
        in.write(log + "\t127.0.0.1:0\t" + String.join("\t", NodeProgram.command("-XX:TieredStopAtLevel=1")) + "\n");
        in.flush();
        String pid = platform.inputReader().readLine();
        assertNotNull(pid, "the platform has ended");
        return ProcessHandle.of(Long.parseLong(pid)).orElseThrow();
    }

    private static void await(BooleanSupplier condition, String what) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, what);
            Thread.onSpinWait();
        }
    }

    private static String read(Path log) {
        try {
            return Files.exists(log) ? Files.readString(log) : "";
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static InetSocketAddress awaitControlAddress(Path log) {
        String event = "event=control_listening address=127.0.0.1:";
        await(
                () -> read(log).contains(event)
                        && read(log).substring(read(log).indexOf(event)).contains("\n"),
                "the log names no control address");
        String rest = read(log).substring(read(log).indexOf(event) + event.length());
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(), Integer.parseInt(rest.substring(0, rest.indexOf('\n'))));
    }

    private static String controlCall(InetSocketAddress control, String line) {
        try (Socket caller = new Socket(control.getAddress(), control.getPort())) {
            NodeHarness.write(caller, line + "\n");
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Sends requests one after the other, and keeps a connection until a response has Connection: close. Fails if a
     * request fails.
     */
    private static void sendRequests(int port, AtomicInteger served, AtomicBoolean running) throws IOException {
        Socket socket = null;
        while (running.get()) {
            if (socket == null) {
                socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(20_000);
            }
            String txn = "t" + served.incrementAndGet();
            Http.Message response = NodeHarness.exchange(socket, Http.pageRequest("/api/x", txn, "5000m"));
            assertEquals(200, response.status());
            assertEquals("two", response.body(), "response of the server that is not cordoned");
            if ("close".equals(response.headers().get("connection"))) {
                socket.close();
                socket = null;
            }
        }
        if (socket != null) {
            socket.close();
        }
    }

    private static Path config(Path folder, FakeServer one, FakeServer two) throws IOException {
        return Files.writeString(folder.resolve("config.json"), """
                {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":256},
                 "known":%s,
                 "settings":{"zones":["here"],"limits":{"attemptsCap":4},
                 "classes":[{"name":"page","onTimeUs":1000000,"giveUpUs":5000000,"repeat":"safe"}]}}
                """.formatted(NodeHarness.endpointList(
                1, true, "s0=" + one.endpoint() + "=Ready", "s1=" + two.endpoint() + "=Ready")));
    }

    /**
     * Guards against failed requests during a restart under load. The platform holds the listening socket, starts a
     * second process on it, and sends SIGTERM to the first one when the second one is ready. No request may fail, and a
     * cordoned server must stay cordoned.
     */
    @Test
    void newProcessTakesOverUnderLoadAndNoRequestFails(@TempDir Path folder) throws Exception {
        Process platform = null;
        List<ProcessHandle> nodes = new ArrayList<>();
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        AtomicBoolean running = new AtomicBoolean(true);
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two")) {
            platform = platform(
                    "listen",
                    Map.of(
                            "PROXY_CONFIG",
                            config(folder, one, two).toString(),
                            "PROXY_SOCKET_FD",
                            "0",
                            "TMPDIR",
                            folder.toString()));
            BufferedReader platformOutput = platform.inputReader();
            int port = Integer.parseInt(platformOutput.readLine());
            Path oldLog = folder.resolve("old.log");
            nodes.add(startNode(platform, oldLog));
            InetSocketAddress before = awaitControlAddress(oldLog);
            await(() -> controlCall(before, "health").equals("YES\n"), "the first process does not serve");
            assertEquals("YES\n", controlCall(before, "cordon s0"));
            AtomicInteger served = new AtomicInteger();
            List<Future<?>> runs = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                runs.add(clients.submit(() -> {
                    sendRequests(port, served, running);
                    return null;
                }));
            }
            Path newLog = folder.resolve("new.log");
            nodes.add(startNode(platform, newLog));
            InetSocketAddress after = awaitControlAddress(newLog);
            await(() -> controlCall(after, "health").equals("YES\n"), "the second process does not serve");
            int servedAtSigterm = served.get();
            assertTrue(servedAtSigterm > 0);
            assertTrue(nodes.get(0).destroy(), "SIGTERM could not be sent");
            await(() -> !nodes.get(0).isAlive(), "the first process has not ended");
            assertTrue(
                    read(oldLog).contains("event=draining"),
                    "the log lacks the drain, perhaps it was closed with the socket: " + read(oldLog));
            int servedAtExit = served.get();
            await(() -> served.get() > servedAtExit + 100, "the second process serves nothing");
            running.set(false);
            for (Future<?> run : runs) {
                run.get(30, TimeUnit.SECONDS);
            }
            String metrics = controlCall(after, "counters");
            int passed = Integer.parseInt(metrics.replaceAll("(?s).*outcome=\"passed\"} (\\d+).*", "$1"));
            assertTrue(
                    passed >= 100 && passed < served.get(),
                    "metrics of the second process do not count from 0: " + metrics);
            assertTrue(metrics.contains("outcome=\"dropped\"} 0\n"), metrics);
            assertTrue(metrics.contains("node_skipped_app_servers 1\n"), metrics);
            assertTrue(one.requests.isEmpty(), "the cordoned server got requests");
            assertEquals("YES\n", controlCall(after, "uncordon s0"));
        } finally {
            running.set(false);
            clients.shutdownNow();
            nodes.forEach(ProcessHandle::destroyForcibly);
            if (platform != null) {
                platform.destroy();
            }
        }
    }

    /**
     * Guards against a node that starts without a socket to listen on. The platform passes no listening socket by
     * mistake. The program must write one line that names the setting, and exit with code 2.
     */
    @Test
    void descriptorThatIsNotAListeningSocketFailsTheStart(@TempDir Path folder) throws Exception {
        try (FakeServer one = FakeServer.respondingWith("one");
                FakeServer two = FakeServer.respondingWith("two")) {
            for (String descriptor : new String[] {"0", "3"}) {
                Process process = NodeProgram.start(
                        Map.of("PROXY_CONFIG", config(folder, one, two).toString(), "PROXY_SOCKET_FD", descriptor),
                        "-XX:TieredStopAtLevel=1");
                String line = process.inputReader().readLine();
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue());
                assertTrue(line.startsWith("load-balancer: PROXY_SOCKET_FD "), line);
                assertFalse(line.isBlank());
            }
        }
    }
}
