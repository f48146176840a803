package kitemux.node;

import io.netty.channel.ChannelFuture;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import kitemux.loop.MeasuredEventLoop;
import kitemux.members.Members;

/** The life of the process in which a node runs: its start, its signals and its end. */
public final class ProcessLife {
    private ProcessLife() {}

    /** Runs a node until SIGTERM; a bad configuration ends it with one line and exit code 2. */
    public static void run(Map<String, String> env) {
        NodeConfig config;
        ServerSocketChannel inherited;
        try {
            config = NodeConfig.read(env);
            inherited = config.operators().inherits() ? InheritedSocket.open() : null;
        } catch (ConfigException e) {
            System.err.println("kitemux: " + e.getMessage());
            System.exit(2);
            return;
        }
        MeasuredEventLoop loop = new MeasuredEventLoop("node", false);
        Node node = new Node(config, loop);
        HangUp.handle(() -> node.reload(env));
        // By an interface of the JDK's, so that a node of no fleet need not load what one is made of.
        Runnable leave = config.fleet() == null ? null : Members.join(config.fleet(), Log::line, node::alsoReport);
        ChannelFuture control = node.startControl();
        if (control != null) {
            awaitListening("control " + config.operators().control(), control);
            Log.line("operators at " + control.channel().localAddress());
        }
        // Ahead of the rehearsal, which takes longer than discovery to answer.
        node.watch();
        long rehearsed = Rehearsal.play(config, loop);
        if (rehearsed < Rehearsal.REQUESTS) {
            Log.line("rehearsal cut short after " + rehearsed + " of " + Rehearsal.REQUESTS + " requests");
        }
        ChannelFuture listening = node.start(inherited);
        awaitListening("listen " + config.listen(), listening);
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
        Log.line("listening on " + listening.channel().localAddress());
    }

    private static void awaitListening(String where, ChannelFuture listening) {
        if (!listening.awaitUninterruptibly().isSuccess()) {
            System.err.println("kitemux: " + where + ": " + listening.cause().getMessage());
            System.exit(2);
        }
    }
}
