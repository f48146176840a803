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
import loadbalancer.harness.simulation.World;

/**
 * A node that is a process, started as the deploy file says; all but its start and its calls runs on the
 * loop.
 */
final class RealNode extends BaseNode {
    /** How often a starting node is asked whether it is up. */
    private static final long READY_POLL_INTERVAL_US = 50_000;

    private static final int CALL_TIMEOUT_MS = 2_000;
    private static final int SIGKILL_EXIT_CODE = 137;
    /** In the history, an answer that belongs to another request. */
    private static final String MISDIRECTED = "ALIEN";

    private final RealTimeline time;
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
    private NodeProcess child;
    private boolean running;
    private boolean terminating;

    /**
     * @param address the node's own on loopback
     * @param discovery the address at which it reaches the list
     * @param blockingTasks runs what blocks: starts, and calls at the control address
     */
    RealNode(
            int number,
            String address,
            World world,
            RealTimeline time,
            RequestRegistry requests,
            FakeEndpointList list,
            String discovery,
            DeployFile deploy,
            Path folder,
            ExecutorService blockingTasks)
            throws IOException {
        super(number, world);
        this.time = time;
        this.requests = requests;
        this.list = list;
        this.discovery = discovery;
        this.deploy = deploy;
        this.folder = Files.createDirectories(folder.resolve(name()));
        this.blockingTasks = blockingTasks;
        random = time.stream("node " + name());
        listen = Listener.free(address);
        control = Listener.free(address);
    }

    /** The id of its process, or -1. */
    long pid() {
        return child == null ? -1 : child.pid();
    }

    @Override
    public void start() {
        int started = nextIncarnation();
        terminating = false;
        history().started();
        world().list().follow(name(), list);
        ObjectNode known = list.whole();
        long seed = random.nextLong();
        blockingTasks.execute(() -> {
            try {
                Path temporary = Files.createDirectories(folder.resolve("tmp" + started));
                Path config = folder.resolve("config.json");
                NodeConfigFile.write(
                        config,
                        name(),
                        Listener.text(listen),
                        discovery,
                        Listener.text(control),
                        seed,
                        known,
                        settings(),
                        world().scenario().net().idleUs(),
                        null);
                NodeProcess process = new NodeProcess(
                        name(),
                        deploy.run(),
                        Map.of(
                                "PROXY_NAME",
                                name(),
                                "PROXY_CONFIG",
                                config.toString(),
                                "PROXY_LISTEN",
                                Listener.text(listen),
                                "PROXY_DISCOVERY",
                                discovery,
                                "TMPDIR",
                                temporary.toString()),
                        deploy.root(),
                        folder.resolve("log" + started),
                        code -> time.soon(() -> onExit(started, code)));
                time.soon(() -> onStarted(started, process));
            } catch (IOException e) {
                time.soon(() -> {
                    throw new IllegalStateException(name() + " cannot be started", e);
                });
            }
        });
    }

    private void onStarted(int startedAs, NodeProcess process) {
        if (startedAs != incarnation()) {
            process.kill();
            return;
        }
        child = process;
        running = true;
        clients = new NodeClients(time.loop(), listen, world().scenario().classes());
        pollUntilUp(startedAs);
    }

    /** The front admits a node once {@code GET /up} says yes. */
    private void pollUntilUp(int startedAs) {
        blockingTasks.execute(() -> {
            boolean up = call(listen, "GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200");
            time.soon(() -> {
                if (startedAs == incarnation() && up) {
                    setReady(true);
                } else if (startedAs == incarnation()) {
                    time.after(READY_POLL_INTERVAL_US, () -> pollUntilUp(startedAs));
                }
            });
        });
    }

    /** The whole response, or an empty text if the call fails. */
    private static String call(InetSocketAddress address, String text) {
        try (Socket socket = new Socket()) {
            socket.connect(address, CALL_TIMEOUT_MS);
            socket.setSoTimeout(CALL_TIMEOUT_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            // It does not listen yet, or not any more: the caller tries again.
            return "";
        }
    }

    private void onExit(int startedAs, int exitCode) {
        if (startedAs == incarnation()) {
            recordExit(!terminating, exitCode);
        }
    }

    private void recordExit(boolean crashed, int exitCode) {
        nextIncarnation();
        running = false;
        setReady(false);
        world().list().unfollow(name());
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

    /** Stops it at once and waits for its end; no event of it is written. */
    void close() {
        nextIncarnation();
        if (child != null) {
            child.close();
        }
    }

    @Override
    public void send(ClientRequest request, ResponseListener listener) {
        if (child == null || clients == null) {
            time.after(0, () -> listener.onAnswer(Answer.UNREACHABLE));
            return;
        }
        requests.add(request, this);
        time.after(2 * request.remainingUs() + MAX_SHUTDOWN_US, () -> requests.forget(request.id()));
        int current = incarnation();
        clients.send(request, new NodeClients.ResponseHandler() {
            private boolean written;

            @Override
            public void onWritten() {
                // A process that has been killed has not got the request, though the system accepted its bytes.
                written = current == incarnation() && running;
                if (!written) {
                    return;
                }
                recordRequest(request);
            }

            @Override
            public void onEnd(Answer answer, boolean misdirected) {
                if (written && answer != Answer.BROKEN) {
                    history().response(request.id(), misdirected ? MISDIRECTED : answer.name());
                }
                listener.onAnswer(answer);
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
            // It may be used again from the call on, whatever the node answers.
            history().setCordoned(server, false);
        }
        blockingTasks.execute(() -> {
            boolean accepted = call(control, (cordoned ? "cordon " : "uncordon ") + server + "\n")
                    .startsWith("YES");
            time.soon(() -> {
                if (cordoned && accepted && cordoned().contains(server)) {
                    history().setCordoned(server, true);
                }
            });
        });
    }
}
