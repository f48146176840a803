package loadbalancer.process;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.common.NettyLog;
import loadbalancer.config.ConfigException;
import loadbalancer.config.NodeConfig;
import loadbalancer.config.NodeConfigReader;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.membership.MembershipService;
import loadbalancer.net.SocketAddresses;

/**
 * Runs a node in this process: the steps of the start, the signals and the exit codes.
 *
 * <p>SIGHUP reloads the configuration ({@link ReloadSignal}). Once the node listens, SIGTERM runs a shutdown hook that
 * waits until the node has drained ({@link GracefulShutdown}). The process then exits with 143, the JVM's exit code for
 * SIGTERM. If the configuration is invalid or an address cannot be listened on, the process writes one line to standard
 * error and exits with {@value #EXIT_CANNOT_START}. If the event loop ends, which is a defect, it exits with {@value
 * #EXIT_LOOP_ENDED}.
 */
public final class ProcessLifecycle {
    /** The configuration is invalid, or an address cannot be listened on. */
    private static final int EXIT_CANNOT_START = 2;
    /** The event loop has ended by itself, so that nothing can be served any more: an internal software error. */
    static final int EXIT_LOOP_ENDED = 70;

    private static final long LOOP_POLL_MILLIS = 100;

    private final NodeConfig config;
    private final MeasuredEventLoop loop;
    private final Node node;

    ProcessLifecycle(NodeConfig config, MeasuredEventLoop loop) {
        this.config = config;
        this.loop = loop;
        node = new Node(config, loop);
    }

    /** Runs a node that this environment configures. Does not return: the process ends at SIGTERM. */
    public static void run(Map<String, String> env) {
        NettyLog.install();
        NodeConfig config;
        ServerSocketChannel inherited;
        try {
            config = NodeConfigReader.read(env);
            inherited = config.operations().inheritsListener() ? InheritedListener.open() : null;
        } catch (ConfigException e) {
            exitCannotStart(e.getMessage());
            return;
        }
        ProcessLifecycle process = new ProcessLifecycle(config, new MeasuredEventLoop("node", false));
        process.start(env, inherited);
        process.awaitEndOfLoop();
    }

    /**
     * Starts the parts in order. The node follows the endpoint list from before the warm-up: the warm-up takes longer
     * than discovery needs to respond, so the list is normally current when the node listens.
     */
    void start(Map<String, String> env, ServerSocketChannel inherited) {
        ReloadSignal.handle(() -> node.reload(env));
        Runnable leaveMembership = joinMembership();
        startControl();
        node.followEndpointList();
        warmUp();
        ChannelFuture listening = node.start(inherited);
        awaitListening("listen: cannot listen on " + config.listenAddress(), listening);
        drainOnSigterm(leaveMembership);
        Log.info("listening", "address", addressOf(listening));
    }

    /**
     * Joins the membership of the fleet if one is configured.
     *
     * @return leaves the membership; null if none is configured. The type is Runnable so that a node without a fleet
     *     loads no membership class.
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
            awaitListening("control: cannot listen on " + config.operations().controlAddress(), control);
            Log.info("control_listening", "address", addressOf(control));
        }
    }

    private void warmUp() {
        long served = ProcessWarmUp.run(config, loop);
        if (served < ProcessWarmUp.REQUESTS) {
            Log.warn("warm_up_incomplete", "requests", served, "of", ProcessWarmUp.REQUESTS);
        }
    }

    private void drainOnSigterm(Runnable leaveMembership) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leaveAndDrain(leaveMembership), "drain"));
    }

    /**
     * Waits on the main thread for the end of the event loop. Without it the process would end with exit code 0, since
     * no other thread keeps it running.
     */
    void awaitEndOfLoop() {
        loop.terminationFuture().awaitUninterruptibly();
        Log.warn("event_loop_ended", "exit_code", EXIT_LOOP_ENDED);
        System.exit(EXIT_LOOP_ENDED);
    }

    /** Leaves the membership first, because the next process of the node waits for the membership address. */
    private void leaveAndDrain(Runnable leaveMembership) {
        long signalledAtNanos = System.nanoTime();
        if (leaveMembership != null) {
            leaveMembership.run();
        }
        CountDownLatch drained = new CountDownLatch(1);
        try {
            node.drain(signalledAtNanos, drained::countDown);
            awaitDrained(drained);
        } catch (RejectedExecutionException e) {
            Log.warn("drain_impossible", "reason", "the event loop has ended");
        }
        if (loop.isTerminated()) {
            Runtime.getRuntime().halt(EXIT_LOOP_ENDED);
        }
    }

    private void awaitDrained(CountDownLatch drained) {
        try {
            while (!drained.await(LOOP_POLL_MILLIS, TimeUnit.MILLISECONDS)) {
                if (loop.isTerminated()) {
                    return;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String addressOf(ChannelFuture listening) {
        return SocketAddresses.format((InetSocketAddress) listening.channel().localAddress());
    }

    private static void awaitListening(String errorPrefix, ChannelFuture listening) {
        if (!listening.awaitUninterruptibly().isSuccess()) {
            exitCannotStart(errorPrefix + ": " + listening.cause().getMessage());
        }
    }

    private static void exitCannotStart(String reason) {
        System.err.println("load-balancer: " + reason);
        System.exit(EXIT_CANNOT_START);
    }
}
