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
 * A node: creates its parts, connects them, and starts and stops them. It makes no decisions.
 *
 * <ul>
 *   <li>Requests: {@link ClientServer} reads them, {@link RequestTable} holds them, {@link PolicyEventQueue} reports
 *       them to the balancer, and {@link NodeActions} carries out the balancer's decisions through {@link ServerPool}.
 *   <li>Servers: {@link ServerListUpdater} passes on the endpoint list of {@link EndpointWatcher} and the operators'
 *       cordons.
 *   <li>Operation: {@link ControlCalls}, {@link ConfigReloader}, {@link Housekeeping}, {@link GracefulShutdown}.
 * </ul>
 *
 * <p>All parts run on one event loop. The methods of this class may be called from any thread.
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
        SocketBudget sockets = new SocketBudget(
                config.maxSockets(),
                hasControl ? ControlServer.MAX_SOCKETS : 0,
                () -> loop.lagMeter().turnNumber());
        MonotonicWallClock clock = new MonotonicWallClock();
        Metrics metrics = new Metrics();
        metrics.register(config.settings().classes);
        pool = new ServerPool(loop, sockets, clock, config.settings().connectTimeoutUs, config.serverIdleTimeoutUs());
        ClassRegistry classes = ClassRegistry.initial(config.settings());
        PolicyEventQueue events = new PolicyEventQueue();
        RequestServices services = new RequestServices(
                loop, clock, pool, metrics, config.settings().reportFields, events, new HashSet<>());
        RequestTable requests = new RequestTable(services, this::currentClasses);
        clients = new ClientServer(
                loop, new RequestReader(classes), sockets, pool::closeOldestIdle, metrics.connections(), requests);
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

    /** Returns the request classes in effect. Called when a request arrives, long after the reloader is set. */
    private ClassRegistry currentClasses() {
        return reloader.classes();
    }

    /** Appends these lines to the node's metrics. Must be called before the node starts. */
    void setExtraMetrics(Supplier<String> lines) {
        controlCalls.setExtraMetrics(lines);
    }

    /**
     * Opens the control address. There the node reports that it is not ready until clients can connect.
     *
     * @return done once operators can connect; null if the node has no control address
     */
    ChannelFuture startControl() {
        return control == null ? null : control.listen(config.operations().controlAddress());
    }

    /**
     * Starts to follow the endpoint list. Further calls do nothing.
     *
     * <p>Should be called well before {@link #start}: the list in the configuration file may be old, and the first
     * requests would go to servers that are draining or gone.
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

    /** Starts to serve clients on a new listening socket. The future is done once they can connect. */
    ChannelFuture start() {
        return start(null);
    }

    /**
     * Starts to serve clients. The future is done once they can connect.
     *
     * @param inherited the listening socket inherited from the platform; null to open a new one
     */
    ChannelFuture start(ServerSocketChannel inherited) {
        followEndpointList();
        housekeeping.start();
        return clients.listen(config.listenAddress(), inherited)
                .addListener(listening -> controlCalls.setReady(listening.isSuccess()));
    }

    /** Reads the configuration file again, and applies it if it is valid. */
    void reload(Map<String, String> env) {
        reloader.reload(env);
    }

    /**
     * Reports that the node is no longer ready, and drains it as {@link GracefulShutdown} describes.
     *
     * @param signalledAtNanos when the process got SIGTERM, by {@link System#nanoTime}
     * @param onDrained called on the event loop once no client is connected and the node no longer accepts connections
     */
    void drain(long signalledAtNanos, Runnable onDrained) {
        loop.execute(() -> {
            controlCalls.setReady(false);
            shutdown.begin(signalledAtNanos, onDrained);
        });
    }

    /**
     * Stops the node without draining it: closes the listening sockets, the client connections, the idle server
     * connections and the watch of the endpoint list, and stops the periodic work. Open requests get no response.
     */
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
