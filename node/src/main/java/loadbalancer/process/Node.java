package loadbalancer.process;

import io.netty.channel.ChannelFuture;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;
import loadbalancer.admin.ControlServer;
import loadbalancer.admin.CordonStore;
import loadbalancer.admin.Metrics;
import loadbalancer.client.ClientServer;
import loadbalancer.client.RequestReader;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.common.SocketBudget;
import loadbalancer.config.ClassRegistry;
import loadbalancer.config.NodeConfig;
import loadbalancer.discovery.EndpointWatcher;
import loadbalancer.discovery.WatchTimeouts;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerActions;
import loadbalancer.policy.ServiceQBalancer;
import loadbalancer.request.PolicyEventQueue;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;
import loadbalancer.upstream.ServerPool;

/**
 * A node: builds its parts, connects them, and starts and ends them. Nothing is decided here.
 *
 * <ul>
 *   <li>Requests: {@link ClientServer} reads them, {@link RequestTable} holds them, {@link PolicyEventQueue} tells the
 *       balancer of them, and {@link NodeActions} carries out what it decides, by {@link ServerPool}.
 *   <li>Servers: {@link EndpointWatcher} and the operators' cordons, by {@link ServerListUpdater}.
 *   <li>Operation: {@link ControlCalls}, {@link ConfigReloader}, {@link Housekeeping}, {@link GracefulShutdown}.
 * </ul>
 *
 * <p>All of it runs on one event loop. The methods of this class may be called from any thread.
 */
public final class Node {
    private final NodeConfig config;
    private final MeasuredEventLoop loop;
    private final ServerPool pool;
    private final ClientServer clients;
    private final ServerListUpdater serverList;
    private final EndpointWatcher discovery;
    private final ConfigReloader reloader;
    private final WakeTimer wakeTimer;
    private final Housekeeping housekeeping;
    private final GracefulShutdown shutdown;
    private final ControlCalls controlCalls;
    /** Null for a node without a control address. */
    private final ControlServer control;

    private boolean followsEndpointList;

    Node(NodeConfig config, MeasuredEventLoop loop) {
        this(config, loop, actions -> new ServiceQBalancer(config.settings(), config.seed(), actions));
    }

    Node(NodeConfig config, MeasuredEventLoop loop, Function<BalancerActions, Balancer> balancerFactory) {
        this.config = config;
        this.loop = loop;
        boolean hasControl = config.operations().controlAddress() != null;
        SocketBudget sockets = new SocketBudget(config.maxSockets(), hasControl ? ControlServer.MAX_SOCKETS : 0);
        MonotonicWallClock clock = new MonotonicWallClock();
        Metrics metrics = new Metrics();
        metrics.register(config.settings().classes);
        pool = new ServerPool(loop, sockets, clock, config.settings().connectTimeoutUs, config.serverIdleTimeoutUs());
        ClassRegistry classes = ClassRegistry.initial(config.settings());
        PolicyEventQueue events = new PolicyEventQueue();
        RequestServices services = new RequestServices(
                loop, clock, pool, metrics, config.settings().reportFields, events, new HashSet<>());
        RequestTable requests = new RequestTable(services, this::currentClasses);
        clients = new ClientServer(loop, new RequestReader(classes), sockets, requests);
        serverList = new ServerListUpdater(
                services, new CordonStore(hasControl ? config.operations().sharedFolder() : null));
        discovery = new EndpointWatcher(loop, config.watchConfig(), WatchTimeouts.DEFAULT, serverList);
        reloader = new ConfigReloader(config, services, clients, discovery, classes);
        wakeTimer = new WakeTimer(services);
        housekeeping = new Housekeeping(loop, services, clients, requests, serverList);
        shutdown = new GracefulShutdown(
                services, requests, clients, reloader, config.operations().inheritsListener());
        controlCalls = new ControlCalls(services, requests, serverList);
        control = hasControl ? new ControlServer(loop, controlCalls) : null;
        events.setBalancer(balancerFactory.apply(new NodeActions(services, requests, discovery, wakeTimer)));
    }

    /** Called as requests come, long after the constructor has set the reloader. */
    private ClassRegistry currentClasses() {
        return reloader.classes();
    }

    /** Reports these lines behind the node's own metrics; before the start. */
    void setExtraMetrics(Supplier<String> lines) {
        controlCalls.setExtraMetrics(lines);
    }

    /** Opens the control address, where the node is not ready until clients can connect; null without one. */
    ChannelFuture startControl() {
        return control == null ? null : control.listen(config.operations().controlAddress());
    }

    /**
     * Begins to follow the endpoint list, if it has not begun yet.
     *
     * <p>To be called ahead of {@link #start}: the list that a node starts with may be old, and its first requests
     * would go to servers that drain or are gone.
     */
    void followEndpointList() {
        loop.execute(() -> {
            if (followsEndpointList) {
                return;
            }
            followsEndpointList = true;
            serverList.refreshCordons();
            serverList.loadCached(config.initialEndpoints());
            if (config.discoveryAddress() != null && !config.settings().pollsEndpointList) {
                discovery.keepSubscribed();
            }
        });
    }

    /** Starts to serve clients on a listening socket of its own; the future is done once they can connect. */
    ChannelFuture start() {
        return start(null);
    }

    /**
     * Starts to serve clients; the future is done once they can connect.
     *
     * @param inherited the listening socket that the platform holds; null for one of the node's own
     */
    ChannelFuture start(ServerSocketChannel inherited) {
        followEndpointList();
        housekeeping.start();
        return clients.listen(config.listenAddress(), inherited)
                .addListener(listening -> controlCalls.setReady(listening.isSuccess()));
    }

    /** Reads the configuration file again and applies it, if it is valid. */
    void reload(Map<String, String> env) {
        reloader.reload(env);
    }

    /** Is no longer ready, serves what is in flight and still comes, and calls back once no client is left. */
    void drain(Runnable onDrained) {
        loop.execute(() -> {
            controlCalls.setReady(false);
            shutdown.begin(onDrained);
        });
    }

    /** Closes all sockets and cancels all timers at once; open requests get no response. */
    public void close() {
        loop.execute(() -> {
            housekeeping.stop();
            wakeTimer.cancel();
            clients.close();
            if (control != null) {
                control.close();
            }
            pool.close();
            discovery.close();
        });
    }
}
