package loadbalancer.harness.process;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import loadbalancer.harness.check.Checker;
import loadbalancer.harness.check.Checkers;
import loadbalancer.harness.check.NoCrash;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.History;
import loadbalancer.harness.run.Outcome;
import loadbalancer.harness.run.SimulatedRun;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.NodePort;
import loadbalancer.harness.simulation.World;

/**
 * Plays a scenario with processes: nodes as the deploy file starts them, and app servers, list and clients as
 * real HTTP peers in this process, each at an address of its own on loopback.
 */
public final class RealPlay implements AutoCloseable {
    /** The most that are started at once on one machine. */
    public static final int MAX_NODES = 128;

    private static final long READY_WITHIN_MS = 60_000;
    /** How much later than it happened the rig may hear of something. */
    private static final long SLACK_US = 100_000;

    private final Scenario scenario;
    private final long seed;
    private final RealTimeline time;
    private final EventLoop loop;
    private final ExecutorService outside = Executors.newFixedThreadPool(8);
    private final List<Checker> checkers;
    private final History history;
    private final World world;
    private final EventLoop linkLoop;
    private final ServerLinks links;
    private final Map<String, FakeServer> servers = new LinkedHashMap<>();
    private final List<FakeEndpointList> lists = new ArrayList<>();
    private final List<FaultLink> listLinks = new ArrayList<>();
    private final List<RealNode> nodes = new ArrayList<>();

    /**
     * Prepares it; nothing has been started yet but what stands in.
     *
     * @param folder for configuration and logs, the caller's
     * @param file where the history goes, or null
     * @param reader reads along
     */
    public RealPlay(
            Scenario scenario, long seed, DeployFile deploy, Path folder, OutputStream file, History.Reader reader)
            throws IOException {
        if (scenario.fleet().nodes() > MAX_NODES || scenario.fleet().servers() > 60_000) {
            throw new IOException("fleet.nodes = " + scenario.fleet().nodes() + ": at most " + MAX_NODES
                    + " processes are started on one machine");
        }
        this.scenario = scenario;
        this.seed = seed;
        loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        time = new RealTimeline(loop, seed);
        linkLoop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        links = new ServerLinks(linkLoop, time.stream("links"));
        checkers = new ArrayList<>(Checkers.of(scenario, SLACK_US));
        checkers.add(new NoCrash());
        List<History.Reader> readers = new ArrayList<>(checkers);
        readers.add(this::follow);
        readers.add(reader);
        history = new History(time, readers, file, false);
        world = new World(scenario, time, history);
        world.links().setCarrier(links);
        RequestRegistry requests = new RequestRegistry(world);
        int number = 0;
        for (String id : world.servers().keySet()) {
            servers.put(
                    id,
                    new FakeServer(
                            world.servers().get(id),
                            "127.2." + number / 250 + "." + (1 + number % 250),
                            world,
                            time,
                            requests));
            number++;
        }
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            int of = i;
            servers.forEach((id, server) -> links.add(of, id, server.address()));
            FakeEndpointList list = new FakeEndpointList(
                    "127.3.0." + (1 + i),
                    time,
                    scenario.fleet().zones(),
                    id -> Listener.text(links.link(of, id).address()));
            lists.add(list);
            FaultLink listLink =
                    new FaultLink(linkLoop, "127.5.0." + (1 + i), list.address(), time.stream("list link " + i));
            listLinks.add(listLink);
            RealNode node = new RealNode(
                    i,
                    "127.1.0." + (1 + i),
                    world,
                    time,
                    requests,
                    list,
                    Listener.text(listLink.address()),
                    deploy,
                    folder,
                    outside);
            nodes.add(node);
            world.add(node);
        }
    }

    /** An app server's model has come up or gone down: so does its address. */
    private void follow(Event event) {
        FakeServer server = servers.get(event.process());
        if (server != null && (event.kind() == Event.Kind.STARTED || event.kind() == Event.Kind.KILLED)) {
            // Later, as a machine that falls silent is killed first.
            time.after(0, () -> {
                server.follow();
                links.follow(event.process(), server.isOpen());
            });
        }
    }

    /** Plays it from the start to the end. */
    public Outcome play(SimulatedRun.Progress progress) throws IOException, InterruptedException {
        onLoop(() -> {
            history.add("rig", Event.Kind.RUN, "scenario", scenario.name(), "seed", seed, "real", true);
            world.start();
            return null;
        });
        await(
                "all nodes to be up",
                READY_WITHIN_MS,
                () -> world.nodes().stream().allMatch(NodePort::isReady));
        long startedUs = onLoop(() -> {
            world.startClients();
            SimulatedRun.scheduleFaults(world, time);
            return time.nowUs();
        });
        long endUs = startedUs + world.endUs();
        long lastUs = startedUs + scenario.lengthUs();
        for (long second = 1; time.nowUs() < endUs && time.failure() == null; second++) {
            if (time.nowUs() > lastUs && onLoop(world::openRequests) == 0) {
                break;
            }
            TimeUnit.MICROSECONDS.sleep(Math.max(1, Math.min(endUs, startedUs + second * 1_000_000) - time.nowUs()));
            long played = second;
            onLoop(() -> {
                progress.onSecond(played * 1_000_000, world);
                return null;
            });
        }
        if (time.failure() != null) {
            throw new IOException("the run failed", time.failure());
        }
        return onLoop(() -> Outcome.of(seed, world, history, checkers, time.nowUs(), false));
    }

    private <T> T onLoop(Callable<T> what) throws IOException, InterruptedException {
        try {
            return loop.submit(what).get();
        } catch (ExecutionException e) {
            throw new IOException("the run failed", e.getCause());
        }
    }

    private void await(String what, long withinMs, Callable<Boolean> holds) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(withinMs);
        while (!onLoop(holds)) {
            if (time.failure() != null) {
                throw new IOException("the run failed", time.failure());
            }
            if (System.nanoTime() > end) {
                throw new IOException("waited " + withinMs + " ms in vain for " + what);
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    /** The way of a node to an app server. */
    FaultLink link(int node, String server) {
        return links.link(node, server);
    }

    /** The way of a node to its list. */
    FaultLink listLink(int node) {
        return listLinks.get(node);
    }

    /** The ids of the nodes' processes. */
    public List<Long> processes() {
        return nodes.stream().map(RealNode::pid).toList();
    }

    /** Ends all processes and lets go of all sockets. */
    @Override
    public void close() {
        outside.shutdownNow();
        try {
            // A start that is under way has to come to its end, or nobody would end what it started.
            outside.awaitTermination(READY_WITHIN_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.submit(() -> {}).awaitUninterruptibly();
        nodes.parallelStream().forEach(RealNode::close);
        loop.submit(() -> {
                    servers.values().forEach(FakeServer::close);
                    lists.forEach(FakeEndpointList::close);
                })
                .awaitUninterruptibly();
        links.close();
        listLinks.forEach(FaultLink::close);
        linkLoop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
