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

/** The life of the process in which a node runs: its start, its signals and its end. */
public final class ProcessLifecycle {
    private ProcessLifecycle() {}

    /** Runs a node until SIGTERM; a bad configuration ends it with one line and exit code 2. */
    public static void run(Map<String, String> env) {
        NodeConfig config;
        ServerSocketChannel inherited;
        try {
            config = NodeConfigReader.read(env);
            inherited = config.operations().inheritsListener() ? InheritedListener.open() : null;
        } catch (ConfigException e) {
            System.err.println("load-balancer: " + e.getMessage());
            System.exit(2);
            return;
        }
        MeasuredEventLoop loop = new MeasuredEventLoop("node", false);
        Node node = new Node(config, loop);
        ReloadSignal.handle(() -> node.reload(env));
        // By an interface of the JDK's, so that a node of no fleet need not load what one is made of.
        Runnable leave = config.membership() == null
                ? null
                : MembershipService.join(
                        config.membership(), text -> Log.info("membership", "text", text), node::setExtraMetrics);
        ChannelFuture control = node.startControl();
        if (control != null) {
            awaitListening("control " + config.operations().controlAddress(), control);
            Log.info("control_listening", "address", text(control));
        }
        // Ahead of the rehearsal, which takes longer than discovery to answer.
        node.followEndpointList();
        long rehearsed = WarmUp.play(config, loop);
        if (rehearsed < WarmUp.REQUESTS) {
            Log.warn("warm_up_incomplete", "requests", rehearsed, "of", WarmUp.REQUESTS);
        }
        ChannelFuture listening = node.start(inherited);
        awaitListening("listen " + config.listenAddress(), listening);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            if (leave != null) {
                                // First: the process that follows this one waits for the address.
                                leave.run();
                            }
                            CountDownLatch empty = new CountDownLatch(1);
                            node.drain(empty::countDown);
                            try {
                                empty.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
        Log.info("listening", "address", text(listening));
    }

    private static String text(ChannelFuture listening) {
        return SocketAddresses.format((InetSocketAddress) listening.channel().localAddress());
    }

    private static void awaitListening(String where, ChannelFuture listening) {
        if (!listening.awaitUninterruptibly().isSuccess()) {
            System.err.println(
                    "load-balancer: " + where + ": " + listening.cause().getMessage());
            System.exit(2);
        }
    }
}
