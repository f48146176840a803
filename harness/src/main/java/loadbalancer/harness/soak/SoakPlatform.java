package loadbalancer.harness.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * The platform that runs a node: it holds the listening socket, starts processes that inherit it, and ends them. The
 * socket is held by a Perl process, as Java cannot hand a socket on; that kills its children when this process ends.
 */
final class SoakPlatform implements AutoCloseable {
    private static final String PROGRAM = """
            use Socket; use POSIX (); $| = 1; my (@started, %status);
            $SIG{CHLD} = sub { while ((my $ended = waitpid(-1, POSIX::WNOHANG())) > 0) { $status{$ended} = $?; } };
            socket(my $held, PF_INET, SOCK_STREAM, 0) or die;
            bind($held, sockaddr_in(0, INADDR_LOOPBACK)) or die;
            listen($held, 1024) or die;
            print((sockaddr_in(getsockname($held)))[0], "\\n");
            while (my $line = <STDIN>) {
              chomp $line;
              if ($line =~ /^status (\\d+)$/) { print(($status{$1} // -1), "\\n"); next; }
              my ($log, $control, $command) = split /\\t/, $line; my $pid = fork;
              if (!$pid) {
                open(STDOUT, '>', $log); open(STDERR, '>&', STDOUT); POSIX::dup2(fileno($held), 0);
                $ENV{PROXY_CONTROL} = $control; exec('/bin/sh', '-c', $command) or die;
              }
              push @started, $pid; print "$pid\\n";
            }
            kill 9, grep { !exists($status{$_}) } @started;
            """;

    private static final int READY_TIMEOUT_MS = 30_000;
    private static final int POLL_MS = 20;
    private static final int CALL_TIMEOUT_MS = 2_000;
    /** How long after the granted deadline the platform kills the process. */
    private static final int KILL_DELAY_MS = 700;

    private static final int MAX_GRANTED_MS = 3_000;
    /** A request that came later than this after SIGTERM has to be answered before SIGKILL. */
    private static final long EXCUSED_AFTER_TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    /** How long after SIGKILL a client may notice it. */
    private static final long NOTICED_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final int SIGTERM_EXIT_CODE = 143;
    private static final int SIGKILL_STATUS = 9;
    private static final int EXIT_CODE_SHIFT = 8;
    private static final int UNKNOWN_STATUS = -1;

    /** A process of the node. */
    record NodeProcess(ProcessHandle handle, InetSocketAddress control, Path log) {}

    /** When a process got its signals; its kill may not have happened yet. */
    private record Termination(long termNanos, long killNanos) {}

    private final Process perl;
    private final BufferedReader fromPerl;
    private final int port;
    private final Path folder;
    private final String command;
    private final NodeFaults faults;
    private final RequestLedger ledger;
    private final Queue<NodeProcess> processes = new ConcurrentLinkedQueue<>();
    private final Queue<Termination> terminations = new ConcurrentLinkedQueue<>();
    private int started;

    /**
     * @param root the working directory of the node
     * @param command the deploy file's command that starts a node
     */
    SoakPlatform(Path root, String command, Path folder, Path config, NodeFaults faults, RequestLedger ledger)
            throws IOException {
        this.command = faults.limit(command);
        this.faults = faults;
        this.folder = folder;
        this.ledger = ledger;
        ProcessBuilder builder = new ProcessBuilder("perl", "-e", PROGRAM).directory(root.toFile());
        builder.environment().remove("JAVA_TOOL_OPTIONS");
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_SOCKET_FD", "0");
        builder.environment()
                .put("TMPDIR", Files.createDirectories(folder.resolve("tmp")).toString());
        perl = builder.redirectError(ProcessBuilder.Redirect.INHERIT).start();
        fromPerl = perl.inputReader();
        port = Integer.parseInt(fromPerl.readLine());
    }

    /** Returns a class of requests as it is configured here. */
    RequestKind kind(RequestKind kind) {
        return faults.scale(kind);
    }

    /** Returns the port on which clients connect. */
    int port() {
        return port;
    }

    /** Starts a process and waits until it serves clients. */
    NodeProcess start() throws IOException, InterruptedException {
        InetSocketAddress control = freeAddress();
        Path log = folder.resolve("node" + started++ + ".log");
        Writer toPerl = perl.outputWriter();
        toPerl.write(log + "\t127.0.0.1:" + control.getPort() + "\t" + command + "\n");
        toPerl.flush();
        ProcessHandle handle = ProcessHandle.of(Long.parseLong(fromPerl.readLine()))
                .orElseThrow(() -> new IOException("the node ended at once, see " + log));
        NodeProcess process = new NodeProcess(handle, control, log);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!call(process, "health").startsWith("YES")) {
            if (!handle.isAlive() || System.nanoTime() > end) {
                throw new IOException("the node is not ready: " + Files.readString(log));
            }
            Thread.sleep(POLL_MS);
        }
        processes.add(process);
        return process;
    }

    /** Stops all processes for some time. */
    void stop(int lengthMs) throws IOException, InterruptedException {
        List<NodeProcess> stopped = List.copyOf(processes);
        for (NodeProcess process : stopped) {
            signal(process, "STOP");
        }
        Thread.sleep(lengthMs);
        for (NodeProcess process : stopped) {
            signal(process, "CONT");
        }
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** Makes a control call; returns an empty string if it fails. */
    static String call(NodeProcess process, String line) {
        try (Socket socket = new Socket()) {
            socket.connect(process.control, CALL_TIMEOUT_MS);
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            socket.getOutputStream().write(Wire.ascii(line + "\n"));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            return "";
        }
    }

    /**
     * Ends a process as the platform does: a series of signals, and SIGKILL at the earliest time that is allowed.
     * Returns once the process has ended.
     */
    void end(NodeProcess process) throws IOException, InterruptedException {
        long termNanos = System.nanoTime();
        int grantedMs = Math.min(MAX_GRANTED_MS, kind(RequestKind.REPORT).remainingMs());
        long killNanos = termNanos + TimeUnit.MILLISECONDS.toNanos(grantedMs + KILL_DELAY_MS);
        terminations.add(new Termination(termNanos, killNanos));
        for (String signal : List.of("HUP", "TERM", "TERM")) {
            signal(process, signal);
        }
        while (process.handle.isAlive() && System.nanoTime() < killNanos) {
            Thread.sleep(1);
        }
        processes.remove(process);
        process.handle.destroyForcibly();
        while (process.handle.isAlive()) {
            Thread.sleep(1);
        }
        checkExit(process);
    }

    /** Records a violation if a process has ended otherwise than by a signal of the platform. */
    private void checkExit(NodeProcess process) throws IOException, InterruptedException {
        int status = exitStatus(process);
        if (status != SIGKILL_STATUS && status >> EXIT_CODE_SHIFT != SIGTERM_EXIT_CODE) {
            ledger.violate("exit", "status " + status + " after SIGTERM, see " + process.log);
        }
    }

    /** Returns the status of a process that has ended, as wait(2) tells it. */
    private synchronized int exitStatus(NodeProcess process) throws IOException, InterruptedException {
        int status = UNKNOWN_STATUS;
        while (status == UNKNOWN_STATUS) {
            perl.outputWriter().write("status " + process.handle.pid() + "\n");
            perl.outputWriter().flush();
            status = Integer.parseInt(fromPerl.readLine());
        }
        return status;
    }

    private static void signal(NodeProcess process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.handle.pid())
                .redirectErrorStream(true)
                .start()
                .waitFor();
    }

    /** Returns whether a connection that breaks now may leave this request unanswered: SIGKILL has ended it. */
    boolean isExcusedByKill(long sentNanos) {
        long nowNanos = System.nanoTime();
        return terminations.stream()
                .anyMatch(end -> nowNanos >= end.killNanos
                        && nowNanos <= end.killNanos + NOTICED_NANOS
                        && sentNanos <= end.termNanos + EXCUSED_AFTER_TERM_NANOS);
    }

    /** Returns the most memory that a process has used, in kilobytes; 0 if it has ended. */
    static long peakMemoryKb(NodeProcess process) {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.handle.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmHWM:"))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException | UncheckedIOException e) {
            return 0;
        }
    }

    /** Records a violation if a process that nobody has ended is not alive. Returns whether it is alive. */
    boolean checkAlive(NodeProcess process) {
        boolean alive = process.handle.isAlive();
        if (!alive) {
            ledger.violate("crash", "the process has ended, see " + process.log);
        }
        return alive;
    }

    @Override
    public void close() throws IOException {
        perl.outputWriter().close();
        try {
            perl.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
