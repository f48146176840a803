package loadbalancer.harness.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import loadbalancer.harness.simulation.BaseNode;
import loadbalancer.harness.simulation.Testbed;

/**
 * A node that runs as a process, started by the command of the deploy file. Starts and calls that block run on an
 * executor, everything else runs on the event loop of the run.
 */
final class ProcessNode extends BaseNode {
    /** Interval at which a starting node is polled until it is up. */
    private static final long READY_POLL_INTERVAL_US = 50_000;

    private static final int CALL_TIMEOUT_MS = 2_000;
    private static final int SIGKILL_EXIT_CODE = 137;
    /** Result in the history for a response that belongs to another request. */
    private static final String MISDIRECTED = "ALIEN";

    private final SystemTimeline time;
    private final RequestRegistry requests;
    private final FakeEndpointList list;
    private final String discovery;
    private final DeployFile deploy;
    private final Path folder;
    private final ExecutorService blockingTasks;
    private final SplittableRandom random;
    private final InetSocketAddress listen;
    private final InetSocketAddress control;
    private NodeClients clients;
    private ChildProcess child;
    private boolean running;
    private boolean terminating;

    /** The log of its latest start; null before the first one. */
    private Path log;

    /** The exit code of a process that has ended by itself since the latest start; null if none has. */
    private Integer crashExitCode;

    /**
     * @param address loopback address that only this node uses
     * @param discovery address at which the node reaches its endpoint list
     * @param blockingTasks runs blocking tasks: starts, and calls to the node
     */
    ProcessNode(
            int number,
            String address,
            Testbed testbed,
            SystemTimeline time,
            RequestRegistry requests,
            FakeEndpointList list,
            String discovery,
            DeployFile deploy,
            Path folder,
            ExecutorService blockingTasks)
            throws IOException {
        super(number, testbed);
        this.time = time;
        this.requests = requests;
        this.list = list;
        this.discovery = discovery;
        this.deploy = deploy;
        this.folder = Files.createDirectories(folder.resolve(name()));
        this.blockingTasks = blockingTasks;
        random = time.stream("node " + name());
        listen = HttpListener.freeAddress(address);
        control = HttpListener.freeAddress(address);
    }

    /** Returns the id of its process, or -1 if it was never started. */
    long pid() {
        return child == null ? -1 : child.pid();
    }

    /** Returns whether its process has ended by itself since the latest start. */
    boolean hasCrashed() {
        return crashExitCode != null;
    }

    /** Describes its state and the end of its log, for the message of a run whose nodes are not up. */
    String startReport() {
        String state = hasCrashed() ? "ended with exit code " + crashExitCode : running ? "runs" : "is not started";
        return "\n" + name() + " at " + HttpListener.format(listen) + " " + state + (isReady() ? ", is up" : "")
                + LogTail.of(log);
    }

    @Override
    public void start() {
        int started = nextIncarnation();
        terminating = false;
        crashExitCode = null;
        log = folder.resolve("log" + started);
        Path output = log;
        history().started();
        testbed().list().follow(name(), list);
        ObjectNode known = list.fullList();
        long seed = random.nextLong();
        blockingTasks.execute(() -> {
            try {
                Path temporary = Files.createDirectories(folder.resolve("tmp" + started));
                Path config = folder.resolve("config.json");
                NodeConfigFile.write(
                        config,
                        name(),
                        HttpListener.format(listen),
                        discovery,
                        HttpListener.format(control),
                        seed,
                        known,
                        settings(),
                        testbed().scenario().net().idleUs(),
                        null);
                ChildProcess process = new ChildProcess(
                        name(),
                        deploy.run(),
                        Map.of(
                                "PROXY_NAME",
                                name(),
                                "PROXY_CONFIG",
                                config.toString(),
                                "PROXY_LISTEN",
                                HttpListener.format(listen),
                                "PROXY_DISCOVERY",
                                discovery,
                                "TMPDIR",
                                temporary.toString()),
                        deploy.root(),
                        output,
                        code -> time.runSoon(() -> onExit(started, code)));
                time.runSoon(() -> onStarted(started, process));
            } catch (IOException e) {
                time.runSoon(() -> {
                    throw new IllegalStateException(name() + " cannot be started", e);
                });
            }
        });
    }

    private void onStarted(int startedIncarnation, ChildProcess process) {
        if (startedIncarnation != incarnation()) {
            process.kill();
            return;
        }
        child = process;
        running = true;
        clients = new NodeClients(time.loop(), listen, testbed().scenario().classes());
        pollUntilUp(startedIncarnation);
    }

    /** Polls {@code GET /up} until it responds 200; the front sends requests to the node from then on. */
    private void pollUntilUp(int startedIncarnation) {
        blockingTasks.execute(() -> {
            boolean up = call(listen, "GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200");
            time.runSoon(() -> {
                if (startedIncarnation == incarnation() && up) {
                    setReady(true);
                } else if (startedIncarnation == incarnation()) {
                    time.after(READY_POLL_INTERVAL_US, () -> pollUntilUp(startedIncarnation));
                }
            });
        });
    }

    /** Sends a call and returns the complete response, or an empty string if the call fails. */
    private static String call(InetSocketAddress address, String text) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CALL_TIMEOUT_MS);
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            // The node does not listen yet, or has ended: the response is empty.
            return "";
        }
    }

    private void onExit(int startedIncarnation, int exitCode) {
        if (startedIncarnation == incarnation()) {
            recordExit(!terminating, exitCode);
        }
    }

    private void recordExit(boolean crashed, int exitCode) {
        nextIncarnation();
        running = false;
        crashExitCode = crashed ? exitCode : null;
        setReady(false);
        testbed().list().unfollow(name());
        history().exited(crashed, exitCode);
    }

    @Override
    public void kill() {
        if (child != null && child.isAlive()) {
            child.kill();
            recordExit(false, SIGKILL_EXIT_CODE);
        }
    }

    @Override
    public void terminate() {
        if (child == null || !child.isAlive() || terminating) {
            return;
        }
        int current = incarnation();
        terminating = true;
        history().terminating();
        child.terminate();
        time.after(REQUESTS_AFTER_SIGTERM_US, () -> {
            if (current == incarnation()) {
                setReady(false);
                clients.closeIdle();
            }
        });
        time.after(MAX_SHUTDOWN_US, () -> {
            if (current == incarnation()) {
                kill();
            }
        });
    }

    /** Stops the process and waits for its end, without writing an event. */
    void close() {
        nextIncarnation();
        if (child != null) {
            child.close();
        }
    }

    @Override
    public void send(ClientRequest request, ResponseListener listener) {
        if (child == null || clients == null) {
            time.after(0, () -> listener.onResult(RequestResult.UNREACHABLE));
            return;
        }
        requests.add(request, this);
        time.after(2 * request.remainingUs() + MAX_SHUTDOWN_US, () -> requests.remove(request.id()));
        int current = incarnation();
        clients.send(request, new NodeClients.ResponseHandler() {
            private boolean written;

            @Override
            public void onWritten() {
                // A killed process does not receive the request, although the operating system accepted its bytes.
                written = current == incarnation() && running;
                if (!written) {
                    return;
                }
                recordRequest(request);
            }

            @Override
            public void onEnd(RequestResult result, boolean misdirected) {
                if (written && result != RequestResult.BROKEN) {
                    history().response(request.id(), misdirected ? MISDIRECTED : result.name());
                }
                listener.onResult(result);
            }
        });
    }

    @Override
    public void clientGone(long id) {
        if (clients != null) {
            history().clientGone(id);
            clients.disconnect(id);
        }
    }

    @Override
    public void setCordoned(String server, boolean cordoned) {
        if (!updateCordon(server, cordoned)) {
            return;
        }
        if (!cordoned) {
            // From this call on the node may use the server again, whatever it responds.
            history().setCordoned(server, false);
        }
        blockingTasks.execute(() -> {
            boolean accepted = call(control, (cordoned ? "cordon " : "uncordon ") + server + "\n")
                    .startsWith("YES");
            time.runSoon(() -> {
                if (cordoned && accepted && cordoned().contains(server)) {
                    history().setCordoned(server, true);
                }
            });
        });
    }
}
