package loadbalancer.rig.real;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.rig.history.Event.Kind;
import loadbalancer.rig.history.History;
import loadbalancer.rig.world.NodePort;
import loadbalancer.rig.world.World;

/**
 * A node that is a process, started as the deploy file says; all but its start and its calls runs on the
 * loop.
 */
final class RealNode implements NodePort {
    /** How often it is asked whether it is up. */
    private static final long LOOK_US = 50_000;

    private static final int CALL_MS = 2_000;

    private final String name;
    private final int zone;
    private final BalancerSettings settings;
    private final World world;
    private final RealTimeline time;
    private final ClientRequest asked;
    private final FakeEndpointList list;
    private final String discovery;
    private final DeployFile deploy;
    private final Path folder;
    private final ExecutorService outside;
    private final SplittableRandom random;
    private final InetSocketAddress listen;
    private final InetSocketAddress control;
    private final TreeSet<String> cordoned = new TreeSet<>();
    private NodeClients clients;
    private NodeProcess child;
    private boolean ready;
    private boolean running;
    private boolean meantToEnd;
    private long sinceUs;
    private int life;

    /**
     * @param address the node's own on loopback
     * @param discovery where it reaches the list
     * @param outside where what blocks is done: starts, and calls at the control address
     */
    RealNode(
            int number,
            String address,
            World world,
            RealTimeline time,
            ClientRequest asked,
            FakeEndpointList list,
            String discovery,
            DeployFile deploy,
            Path folder,
            ExecutorService outside)
            throws IOException {
        name = "n" + number;
        zone = world.scenario().fleet().zoneOfNode(number);
        settings = world.settings(number);
        this.world = world;
        this.time = time;
        this.asked = asked;
        this.list = list;
        this.discovery = discovery;
        this.deploy = deploy;
        this.folder = Files.createDirectories(folder.resolve(name));
        this.outside = outside;
        random = time.stream("node " + name);
        listen = Listener.free(address);
        control = Listener.free(address);
    }

    private History history() {
        return world.history();
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public int zone() {
        return zone;
    }

    @Override
    public boolean isReady() {
        return ready;
    }

    @Override
    public long sinceUs() {
        return sinceUs;
    }

    /** The id of its process, or -1. */
    long pid() {
        return child == null ? -1 : child.pid();
    }

    // ---------------------------------------------------------------- its life

    @Override
    public void start() {
        int of = ++life;
        meantToEnd = false;
        history().add(name, Kind.STARTED);
        world.list().follow(name, list);
        ObjectNode known = list.whole();
        long seed = random.nextLong();
        outside.execute(() -> {
            try {
                Path temporary = Files.createDirectories(folder.resolve("tmp" + of));
                Path config = folder.resolve("config.json");
                NodeConfigFile.write(
                        config,
                        name,
                        Listener.text(listen),
                        discovery,
                        Listener.text(control),
                        seed,
                        known,
                        settings,
                        world.scenario().net().idleUs(),
                        null);
                NodeProcess started = new NodeProcess(
                        name,
                        deploy.run(),
                        Map.of(
                                "PROXY_NAME",
                                name,
                                "PROXY_CONFIG",
                                config.toString(),
                                "PROXY_LISTEN",
                                Listener.text(listen),
                                "PROXY_DISCOVERY",
                                discovery,
                                "TMPDIR",
                                temporary.toString()),
                        deploy.root(),
                        folder.resolve("log" + of),
                        code -> time.soon(() -> ended(of, code)));
                time.soon(() -> begun(of, started));
            } catch (IOException e) {
                time.soon(() -> {
                    throw new IllegalStateException(name + " cannot be started", e);
                });
            }
        });
    }

    private void begun(int of, NodeProcess started) {
        if (of != life) {
            started.kill();
            return;
        }
        child = started;
        running = true;
        clients = new NodeClients(time.loop(), listen, world.scenario().classes());
        lookUntilUp(of);
    }

    /** The front admits a node once {@code GET /up} says yes. */
    private void lookUntilUp(int of) {
        outside.execute(() -> {
            boolean up = call(listen, "GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200");
            time.soon(() -> {
                if (of == life && up) {
                    ready = true;
                    sinceUs = time.nowUs();
                } else if (of == life) {
                    time.after(LOOK_US, () -> lookUntilUp(of));
                }
            });
        });
    }

    /** What comes back, or nothing where the call fails. */
    private static String call(InetSocketAddress to, String text) {
        try (Socket socket = new Socket()) {
            socket.connect(to, CALL_MS);
            socket.setSoTimeout(CALL_MS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            // It does not listen yet, or not any more: the caller asks again.
            return "";
        }
    }

    private void ended(int of, int code) {
        if (of == life) {
            over(!meantToEnd, code);
        }
    }

    private void over(boolean crashed, int code) {
        life++;
        running = false;
        ready = false;
        sinceUs = time.nowUs();
        world.list().unfollow(name);
        history().add(name, Kind.KILLED, "crash", crashed, "code", code);
    }

    @Override
    public void kill() {
        if (child != null && child.isAlive()) {
            child.kill();
            over(false, 137);
        }
    }

    @Override
    public void end() {
        if (child == null || !child.isAlive() || meantToEnd) {
            return;
        }
        int of = life;
        meantToEnd = true;
        history().add(name, Kind.ENDING);
        child.terminate();
        time.after(STILL_ASKED_US, () -> {
            if (of == life) {
                ready = false;
                sinceUs = time.nowUs();
                clients.closeIdle();
            }
        });
        time.after(MOST_END_US, () -> {
            if (of == life) {
                kill();
            }
        });
    }

    /** Stops it at once and waits for its end; no event is told of it any more. */
    void close() {
        life++;
        if (child != null) {
            child.close();
        }
    }

    // ---------------------------------------------------------------- clients

    @Override
    public void ask(Try made, Asker asker) {
        if (child == null || clients == null) {
            time.after(0, () -> asker.answered(Answer.UNREACHABLE));
            return;
        }
        asked.add(made, this);
        time.after(2 * made.remainingUs() + MOST_END_US, () -> asked.forget(made.id()));
        int of = life;
        clients.ask(made, new NodeClients.Heard() {
            private boolean taken;

            @Override
            public void taken() {
                // What is written to a process that has been killed was never its, whatever the system says.
                taken = of == life && running;
                if (!taken) {
                    return;
                }
                history()
                        .add(
                                name,
                                Kind.ASK,
                                "request",
                                made.id(),
                                "class",
                                settings.classes.get(made.classIndex()).name(),
                                "left",
                                made.remainingUs());
            }

            @Override
            public void ended(Answer answer, boolean alien) {
                if (taken && answer != Answer.BROKEN) {
                    history().add(name, Kind.ANSWER, "request", made.id(), "answer", alien ? "ALIEN" : answer.name());
                }
                asker.answered(answer);
            }
        });
    }

    @Override
    public void left(long id) {
        if (clients != null) {
            history().add(name, Kind.LEFT, "request", id);
            clients.leave(id);
        }
    }

    // ---------------------------------------------------------------- operators

    @Override
    public void cordon(String server, boolean out) {
        if (!(out ? cordoned.add(server) : cordoned.remove(server))) {
            return;
        }
        if (!out) {
            // It may be used again from the call on, whatever is answered.
            history().add(name, Kind.UNCORDON, "server", server);
        }
        outside.execute(() -> {
            boolean yes = call(control, (out ? "cordon " : "uncordon ") + server + "\n")
                    .startsWith("YES");
            time.soon(() -> {
                if (out && yes && cordoned.contains(server)) {
                    history().add(name, Kind.CORDON, "server", server);
                }
            });
        });
    }
}
