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
import java.util.stream.Collectors;
import loadbalancer.harness.check.Checker;
import loadbalancer.harness.check.Checkers;
import loadbalancer.harness.check.NoCrash;
import loadbalancer.harness.history.Event;
import loadbalancer.harness.history.History;
import loadbalancer.harness.run.Outcome;
import loadbalancer.harness.run.SimulatedRun;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.FleetNode;
import loadbalancer.harness.simulation.Testbed;

/**
 * Runs a scenario with node processes, which the command of the deploy file starts. App servers, endpoint lists and
 * clients are HTTP peers in this process; each app server and list has its own loopback address.
 */
public final class ProcessRun implements AutoCloseable {
    /** Maximum number of nodes, which all run on one machine. */
    public static final int MAX_NODES = 128;

    private static final long READY_TIMEOUT_MS = 60_000;
    private static final long READY_POLL_MS = 10;
    /** Time by which the harness may observe an event late; checkers tolerate this much. */
    private static final long OBSERVATION_DELAY_US = 100_000;

    private final Scenario scenario;
    private final long seed;
    private final SystemTimeline time;
    private final EventLoop loop;
    private final ExecutorService blockingTasks = Executors.newFixedThreadPool(8);
    private final List<Checker> checkers;
    private final History history;
    private final Testbed testbed;
    private final EventLoop linkLoop;
    private final ServerLinks links;
    private final Map<String, FakeServer> servers = new LinkedHashMap<>();
    private final List<FakeEndpointList> lists = new ArrayList<>();
    private final List<FaultLink> listLinks = new ArrayList<>();
    private final List<ProcessNode> nodes = new ArrayList<>();

    /**
     * Prepares the run. Opens the fakes and links, and starts no node.
     *
     * @param folder for configurations and logs; owned by the caller
     * @param file receives the history, or null
     * @param reader receives each event of the history
     */
    public ProcessRun(
            Scenario scenario, long seed, DeployFile deploy, Path folder, OutputStream file, History.Reader reader)
            throws IOException {
        if (scenario.fleet().nodes() > MAX_NODES || scenario.fleet().servers() > 60_000) {
            throw new IOException("fleet.nodes = " + scenario.fleet().nodes() + ": at most " + MAX_NODES
                    + " processes are started on one machine");
        }
        this.scenario = scenario;
        this.seed = seed;
        loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        time = new SystemTimeline(loop, seed);
        linkLoop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        links = new ServerLinks(linkLoop, time.stream("links"));
        checkers = new ArrayList<>(Checkers.of(scenario, OBSERVATION_DELAY_US));
        checkers.add(new NoCrash());
        List<History.Reader> readers = new ArrayList<>(checkers);
        readers.add(this::onEvent);
        readers.add(reader);
        history = new History(time, readers, file, false);
        testbed = new Testbed(scenario, time, history);
        testbed.links().setFaultInjector(links);
        RequestRegistry requests = new RequestRegistry(testbed);
        int number = 0;
        for (String id : testbed.servers().keySet()) {
            servers.put(
                    id,
                    new FakeServer(
                            testbed.servers().get(id),
                            "127.2." + number / 250 + "." + (1 + number % 250),
                            testbed,
                            time,
                            requests));
            number++;
        }
        for (int i = 0; i < scenario.fleet().nodes(); i++) {
            int nodeIndex = i;
            servers.forEach((id, server) -> links.add(nodeIndex, id, server.address()));
            FakeEndpointList list = new FakeEndpointList(
                    "127.3.0." + (1 + i),
                    time,
                    scenario.fleet().zones(),
                    id -> HttpListener.format(links.link(nodeIndex, id).address()));
            lists.add(list);
            FaultLink listLink =
                    new FaultLink(linkLoop, "127.5.0." + (1 + i), list.address(), time.stream("list link " + i));
            listLinks.add(listLink);
            ProcessNode node = new ProcessNode(
                    i,
                    "127.1.0." + (1 + i),
                    testbed,
                    time,
                    requests,
                    list,
                    HttpListener.format(listLink.address()),
                    deploy,
                    folder,
                    blockingTasks);
            nodes.add(node);
            testbed.add(node);
        }
    }

    /** Opens or closes the listener and the links of an app server when its model starts or ends. */
    private void onEvent(Event event) {
        FakeServer server = servers.get(event.process());
        if (server != null && (event.kind() == Event.Kind.STARTED || event.kind() == Event.Kind.KILLED)) {
            // Deferred, as the model of a server that becomes unreachable is killed first.
            time.after(0, () -> {
                server.syncWithModel();
                links.setOpen(event.process(), server.isOpen());
            });
        }
    }

    /** Runs the scenario from start to end. */
    public Outcome run(SimulatedRun.Progress progress) throws IOException, InterruptedException {
        onLoop(() -> {
            history.add("rig", Event.Kind.RUN, "scenario", scenario.name(), "seed", seed, "real", true);
            testbed.start();
            return null;
        });
        awaitReady();
        long startedUs = onLoop(() -> {
            testbed.startClients();
            SimulatedRun.scheduleFaults(testbed, time);
            return time.nowUs();
        });
        long endUs = startedUs + testbed.endUs();
        long stopUs = startedUs + scenario.lengthUs();
        for (long second = 1; time.nowUs() < endUs && time.failure() == null; second++) {
            if (time.nowUs() > stopUs && onLoop(testbed::openRequests) == 0) {
                break;
            }
            TimeUnit.MICROSECONDS.sleep(Math.max(1, Math.min(endUs, startedUs + second * 1_000_000) - time.nowUs()));
            long elapsedSeconds = second;
            onLoop(() -> {
                progress.onSecond(elapsedSeconds * 1_000_000, testbed);
                return null;
            });
        }
        if (time.failure() != null) {
            throw new IOException("the run failed", time.failure());
        }
        return onLoop(() -> Outcome.of(seed, testbed, history, checkers, time.nowUs(), false));
    }

    private <T> T onLoop(Callable<T> task) throws IOException, InterruptedException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IOException("the run failed", e.getCause());
        }
    }

    /** Waits until all nodes are up. Fails once one of them has ended, or after {@link #READY_TIMEOUT_MS}. */
    private void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!onLoop(() -> nodes.stream().allMatch(FleetNode::isReady))) {
            if (time.failure() != null) {
                throw new IOException("the run failed", time.failure());
            }
            if (onLoop(() -> nodes.stream().anyMatch(ProcessNode::hasCrashed))) {
                throw new IOException("a node ended before it was up:" + startReports());
            }
            if (System.nanoTime() > end) {
                throw new IOException("not all nodes are up within " + READY_TIMEOUT_MS + " ms:" + startReports());
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
        }
    }

    private String startReports() throws IOException, InterruptedException {
        return onLoop(() -> nodes.stream().map(ProcessNode::startReport).collect(Collectors.joining()));
    }

    /** Returns the link of a node to an app server. */
    FaultLink link(int node, String server) {
        return links.link(node, server);
    }

    /** Returns the link of a node to its endpoint list. */
    FaultLink listLink(int node) {
        return listLinks.get(node);
    }

    /** Returns the process ids of the nodes. */
    public List<Long> pids() {
        return nodes.stream().map(ProcessNode::pid).toList();
    }

    /** Ends all processes and closes all sockets. */
    @Override
    public void close() {
        blockingTasks.shutdownNow();
        try {
            // A start in progress has to complete first, or its process would never be ended.
            blockingTasks.awaitTermination(READY_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.submit(() -> {}).awaitUninterruptibly();
        nodes.parallelStream().forEach(ProcessNode::close);
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
