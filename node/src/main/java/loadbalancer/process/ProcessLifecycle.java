package loadbalancer.process;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import loadbalancer.common.Log;
import loadbalancer.config.ConfigException;
import loadbalancer.config.NodeConfig;
import loadbalancer.config.NodeConfigReader;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.membership.MembershipService;
import loadbalancer.net.SocketAddresses;

/**
 * The process in which a node runs: the steps of its start, its signals and its exit codes.
 *
 * <p>SIGHUP reloads the configuration ({@link ReloadSignal}). SIGTERM runs the shutdown hook, which waits until the
 * node has drained ({@link GracefulShutdown}); the process then ends with 143, the JVM's code for SIGTERM. A process
 * that cannot start writes one line to standard error and ends with {@value #EXIT_CANNOT_START}.
 */
public final class ProcessLifecycle {
    /** The configuration is not valid, or an address cannot be listened on. */
    private static final int EXIT_CANNOT_START = 2;

    private final NodeConfig config;
    private final MeasuredEventLoop loop = new MeasuredEventLoop("node", false);
    private final Node node;

    private ProcessLifecycle(NodeConfig config) {
        this.config = config;
        node = new Node(config, loop);
    }

    /** Starts a node by this environment; it runs until SIGTERM. Returns once it listens. */
    public static void run(Map<String, String> env) {
        NodeConfig config;
        ServerSocketChannel inherited;
        try {
            config = NodeConfigReader.read(env);
            inherited = config.operations().inheritsListener() ? InheritedListener.open() : null;
        } catch (ConfigException e) {
            exitCannotStart(e.getMessage());
            return;
        }
        new ProcessLifecycle(config).start(env, inherited);
    }

    /** The list is followed ahead of the warm-up, which takes longer than discovery to answer. */
    private void start(Map<String, String> env, ServerSocketChannel inherited) {
        ReloadSignal.handle(() -> node.reload(env));
        Runnable leaveMembership = joinMembership();
        startControl();
        node.followEndpointList();
        warmUp();
        ChannelFuture listening = node.start(inherited);
        awaitListening("listen " + config.listenAddress(), listening);
        drainOnSigterm(leaveMembership);
        Log.info("listening", "address", addressOf(listening));
    }

    /**
     * Joins the membership of the fleet, if the node takes part in one.
     *
     * @return leaves it again; null where there is nothing to leave. A Runnable, so that a node without a
     *     fleet loads no class of the membership.
     */
    private Runnable joinMembership() {
        if (config.membership() == null) {
            return null;
        }
        return MembershipService.join(config.membership(), node::setExtraMetrics);
    }

    private void startControl() {
        ChannelFuture control = node.startControl();
        if (control != null) {
            awaitListening("control " + config.operations().controlAddress(), control);
            Log.info("control_listening", "address", addressOf(control));
        }
    }

    private void warmUp() {
        long served = WarmUp.run(config, loop);
        if (served < WarmUp.REQUESTS) {
            Log.warn("warm_up_incomplete", "requests", served, "of", WarmUp.REQUESTS);
        }
    }

    private void drainOnSigterm(Runnable leaveMembership) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leaveAndDrain(leaveMembership), "drain"));
    }

    /** Leaves the membership first: the process that follows this one waits for its address. */
    private void leaveAndDrain(Runnable leaveMembership) {
        if (leaveMembership != null) {
            leaveMembership.run();
        }
        CountDownLatch drained = new CountDownLatch(1);
        node.drain(drained::countDown);
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String addressOf(ChannelFuture listening) {
        return SocketAddresses.format((InetSocketAddress) listening.channel().localAddress());
    }

    private static void awaitListening(String where, ChannelFuture listening) {
        if (!listening.awaitUninterruptibly().isSuccess()) {
            exitCannotStart(where + ": " + listening.cause().getMessage());
        }
    }

    private static void exitCannotStart(String reason) {
        System.err.println("load-balancer: " + reason);
        System.exit(EXIT_CANNOT_START);
    }
}
