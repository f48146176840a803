package loadbalancer.process;

import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import loadbalancer.admin.ControlServer;
import loadbalancer.admin.CordonStore;
import loadbalancer.admin.Metrics;
import loadbalancer.admin.MetricsRenderer;
import loadbalancer.admin.NodeOperations;
import loadbalancer.admin.RejectedCallException;
import loadbalancer.client.ClientServer;
import loadbalancer.client.RequestReader;
import loadbalancer.common.Log;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.common.SocketBudget;
import loadbalancer.config.ClassRegistry;
import loadbalancer.config.ConfigException;
import loadbalancer.config.NodeConfig;
import loadbalancer.config.NodeConfigReloader;
import loadbalancer.discovery.Endpoint;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointWatcher;
import loadbalancer.eventloop.LoopLagMeter;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.net.SocketAddresses;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.ServiceQBalancer;
import loadbalancer.request.HealthCheck;
import loadbalancer.request.PolicyEventQueue;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;
import loadbalancer.upstream.ServerPool;

/**
 * A real node: it carries what happens on the sockets to the decision module and what the module asks for
 * to the sockets. It decides nothing. All of it runs on one event loop.
 */
public final class Node implements BalancerActions {
    private static final long HOUSEKEEPING_MS = 250;
    /** The loop that does all of the work came to this so much too late: nothing was answered meanwhile. */
    private static final long HELD_UP_US = 200_000;
    /** By then any other process of this node has looked for cordons, also if it was held up for a while. */
    static final long HEEDED_MS = 2 * HOUSEKEEPING_MS;

    /** At a planned end the process is killed after the longest deadline, counted so at most, and a while. */
    private static final long MOST_DEADLINE_US = 3_000_000;

    private static final long KILL_US = 700_000;
    /** So long before that all that is held has its answer. */
    private static final long ROOM_US = 200_000;
    /** A request that comes to a node that ends should have so long until then, as most need less. */
    private static final long LAST_ASKED_US = 800_000;

    private final NodeConfig config;
    private ClassRegistry registry;
    private final MeasuredEventLoop loop;
    private final MonotonicWallClock clock = new MonotonicWallClock();
    private final Metrics metrics = new Metrics();
    private final CordonStore cordons;
    private final ControlServer control;
    private boolean watching;
    private boolean serves;
    private final ServerPool pool;
    private final ClientServer clients;
    private final EndpointWatcher discovery;
    private final PolicyEventQueue module = new PolicyEventQueue();
    private final RequestServices means;
    private final RequestTable requests;
    private Future<?> housekeeping;
    private long housekeptUs;
    /** Lines beside the node's own; null where it has none. */
    private Supplier<String> moreFigures;

    private Future<?> wake;
    private long wakeAtUs;

    Node(NodeConfig config, MeasuredEventLoop loop) {
        this(config, loop, actions -> new ServiceQBalancer(config.settings(), config.seed(), actions));
    }

    Node(NodeConfig config, MeasuredEventLoop loop, Function<BalancerActions, Balancer> deciding) {
        this.config = config;
        this.loop = loop;
        boolean operated = config.operations().controlAddress() != null;
        cordons = new CordonStore(operated ? config.operations().sharedFolder() : null);
        control = operated ? new ControlServer(loop, new Operators()) : null;
        metrics.register(config.settings().classes);
        SocketBudget sockets = new SocketBudget(config.maxSockets(), operated ? ControlServer.MAX_SOCKETS : 0);
        pool = new ServerPool(loop, sockets, clock, config.settings().connectTimeoutUs, config.serverIdleTimeoutUs());
        registry = ClassRegistry.initial(config.settings());
        means = new RequestServices(
                loop, clock, pool, metrics, config.settings().reportFields, module, new HashSet<>());
        requests = new RequestTable(means, () -> registry);
        clients = new ClientServer(loop, new RequestReader(registry), sockets, requests);
        discovery = new EndpointWatcher(loop, config, EndpointWatcher.Patience.USUAL, new EndpointWatcher.Listener() {
            @Override
            public void listed(EndpointList list) {
                list(list, list.full() ? ListKind.FULL : ListKind.CHANGES);
            }

            @Override
            public void failed(String reason) {
                Log.warn("watch_failed", "reason", reason);
                module.submit(balancer -> balancer.onListFailed(clock.nowUs()));
            }
        });
        module.setBalancer(deciding.apply(this));
    }

    // ---------------------------------------------------------------- start and end

    /** Lines of figures beside the node's own; before the start. */
    void alsoReport(Supplier<String> lines) {
        moreFigures = lines;
    }

    /** Opens the address for operators, which says no until clients can connect; null without one. */
    ChannelFuture startControl() {
        return control == null ? null : control.listen(config.operations().controlAddress());
    }

    /**
     * Begins to follow the list, ahead of clients: the one that a node starts with may be old, and the first
     * requests would go to servers that drain or are gone.
     */
    void watch() {
        loop.execute(() -> {
            if (watching) {
                return;
            }
            watching = true;
            heedCordons();
            list(config.initialEndpoints(), ListKind.CACHED);
            if (config.discoveryAddress() != null && !config.settings().pollsEndpointList) {
                discovery.keepSubscribed();
            }
        });
    }

    /** Begins to serve; the future is done once clients can connect. */
    ChannelFuture start() {
        return start(null);
    }

    ChannelFuture start(ServerSocketChannel inherited) {
        watch();
        housekeptUs = clock.nowUs();
        housekeeping = loop.scheduleAtFixedRate(
                () -> {
                    long lateUs = clock.nowUs() - housekeptUs - HOUSEKEEPING_MS * 1_000;
                    housekeptUs = clock.nowUs();
                    LoopLagMeter.LoopActivity activity = loop.lagMeter().takeLoopActivity();
                    if (lateUs > HELD_UP_US) {
                        Log.warn(
                                "event_loop_stalled",
                                "ms",
                                lateUs / 1_000,
                                "turns",
                                activity.turns(),
                                "longest_handling_ms",
                                activity.longestHandlingNanos() / 1_000_000,
                                "longest_tasks_ms",
                                activity.longestTasksNanos() / 1_000_000);
                    }
                    pool.evictIdle();
                    clients.closeExpired();
                    requests.expireStalled();
                    heedCordons();
                },
                HOUSEKEEPING_MS,
                HOUSEKEEPING_MS,
                TimeUnit.MILLISECONDS);
        return clients.listen(config.listenAddress(), inherited)
                .addListener(listening -> serves = listening.isSuccess());
    }

    /** Says no to the front, serves what still comes, and calls back once nothing is held. */
    void drain(Runnable whenEmpty) {
        loop.execute(() -> {
            serves = false;
            Log.info("draining", "open_requests", requests.pendingCount());
            long remainingUs = Math.min(MOST_DEADLINE_US, registry.longestDeadlineUs()) + KILL_US - ROOM_US;
            requests.setShutdownDeadline(clock.nowUs() + remainingUs);
            loop.schedule(requests::failPending, remainingUs, TimeUnit.MICROSECONDS);
            if (config.operations().inheritsListener()) {
                clients.drainForHandover(Math.max(0, remainingUs - LAST_ASKED_US) / 1_000, whenEmpty);
            } else {
                clients.drain(whenEmpty);
            }
        });
    }

    /** Lets go of all sockets and timers at once. */
    public void close() {
        loop.execute(() -> {
            housekeeping.cancel(false);
            if (wake != null) {
                wake.cancel(false);
            }
            clients.close();
            if (control != null) {
                control.close();
            }
            pool.close();
            discovery.close();
        });
    }

    // ---------------------------------------------------------------- operators

    /** What operators call for. */
    private final class Operators implements NodeOperations {
        @Override
        public boolean isServing() {
            return serves;
        }

        @Override
        public String metrics() {
            return MetricsRenderer.render(
                            metrics,
                            new Metrics.Gauges(requests.pendingCount(), pool.serverCount(), module.excludedServers()))
                    + (moreFigures == null ? "" : moreFigures.get());
        }

        @Override
        public long setCordoned(String serverId, boolean cordoned) throws RejectedCallException {
            cordons.setCordoned(serverId, cordoned);
            Log.info(cordoned ? "server_cordoned" : "server_uncordoned", "server", serverId);
            Node.this.cordon();
            // The yes binds every process of the node, and another one learns of it by looking.
            return cordoned && cordons.isShared() ? HEEDED_MS : 0;
        }
    }

    /** Follows what another process of this node was told. */
    private void heedCordons() {
        if (cordons.refresh()) {
            cordon();
        }
    }

    private void cordon() {
        module.submit(balancer -> {
            pool.setCordoned(cordons.cordonedIds());
            balancer.onCordoned(clock.nowUs(), cordons.cordonedIds());
        });
    }

    /**
     * Takes the file as it now is, where it can all be taken, or leaves everything as it was. One at a time:
     * of two signals in quick succession the later one reads later, and must be heeded last.
     */
    synchronized void reload(Map<String, String> env) {
        try {
            NodeConfig read = NodeConfigReloader.reloadWhenComplete(config, env);
            loop.execute(() -> retune(read));
        } catch (ConfigException e) {
            Log.warn("reload_failed", "reason", e.getMessage());
            loop.execute(metrics::onConfigRejected);
        }
    }

    private void retune(NodeConfig read) {
        Log.info(
                "reloaded",
                "discovery",
                read.discoveryAddress() == null ? null : SocketAddresses.format(read.discoveryAddress()));
        metrics.onConfigLoaded();
        metrics.register(read.settings().classes);
        ClassRegistry next = registry.reloaded(read.settings());
        registry = next;
        module.submit(balancer -> balancer.onSettings(clock.nowUs(), next.settings()));
        clients.setRequestReader(new RequestReader(next));
        pool.setTimeouts(next.settings().connectTimeoutUs, read.serverIdleTimeoutUs());
        discovery.moveTo(read.discoveryAddress());
        loop.schedule(
                () -> {
                    // Unless another file has been taken since.
                    if (registry == next) {
                        registry = next.withoutRetiredClasses();
                        clients.setRequestReader(new RequestReader(registry));
                    }
                },
                next.retirementDelayUs(),
                TimeUnit.MICROSECONDS);
    }

    private void list(EndpointList list, ListKind kind) {
        module.submit(balancer -> {
            // The pool first, as the module sends to new servers at once. What it frees from a draining
            // server is told after the list: the module would else send it there again.
            pool.update(list);
            cordons.onEndpointList(list);
            balancer.onServers(
                    clock.nowUs(),
                    kind,
                    list.endpoints().stream().map(Endpoint::server).toList());
        });
    }

    // ---------------------------------------------------------------- what the module asks for

    @Override
    public void send(long requestId, String serverId, long beginByUs, long untilUs) {
        requests.startAttempt(requestId, serverId, beginByUs, untilUs);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        requests.cancelAttempt(requestId, attempt);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        requests.respond(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        requests.respond(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    /** The module keeps one wake-up pending at most: an earlier one takes the place of a later. */
    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel(false);
        }
        wakeAtUs = atUs;
        scheduleWake();
    }

    private void scheduleWake() {
        wake = loop.schedule(
                () -> {
                    long now = clock.nowUs();
                    if (now < wakeAtUs) {
                        scheduleWake();
                        return;
                    }
                    wake = null;
                    module.submit(balancer -> balancer.onWake(clock.nowUs()));
                },
                Math.max(0, wakeAtUs - clock.nowUs()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String serverId) {
        new HealthCheck(serverId, means).start();
    }

    @Override
    public void closeIdle(String serverId) {
        pool.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void ejected(String serverId, int failures, String className) {
        Log.info("server_ejected", "server", serverId, "failures", failures, "class", className);
    }

    @Override
    public void restored(String serverId, String className) {
        Log.info("server_restored", "server", serverId, "class", className);
    }
}
