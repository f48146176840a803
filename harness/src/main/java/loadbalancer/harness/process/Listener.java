package loadbalancer.harness.process;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/** An address of a stand-in, on loopback, which keeps its port while it is closed and opened again. */
final class Listener {
    /** The largest body that a node passes on. */
    private static final int MAX_BODY_BYTES = 32 << 20;

    private final EventLoop loop;
    private final InetAddress at;
    private final Supplier<ChannelHandler> handler;
    private final Set<SocketChannel> connections = new HashSet<>();
    private Channel listening;
    private int port;

    /**
     * @param address the stand-in's own, so that nobody else takes the port while it is closed
     * @param handler serves one connection, which brings whole requests
     */
    Listener(EventLoop loop, String address, Supplier<ChannelHandler> handler) {
        this.loop = loop;
        at = new InetSocketAddress(address, 0).getAddress();
        this.handler = handler;
    }

    /** Opens it; the port is the system's choice the first time, which waits for it, and then the same. */
    void open() {
        if (listening != null) {
            return;
        }
        var opening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(closed -> connections.remove(channel));
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), handler.get());
                    }
                })
                .bind(at, port);
        listening = opening.channel();
        if (loop.inEventLoop()) {
            opening.addListener(opened -> {
                if (!opened.isSuccess()) {
                    throw new IllegalStateException("cannot listen at " + at + ":" + port, opened.cause());
                }
            });
        } else {
            opening.syncUninterruptibly();
        }
        if (port == 0) {
            port = ((InetSocketAddress) listening.localAddress()).getPort();
        }
    }

    /** Closes it, and resets what is connected. */
    void close() {
        if (listening == null) {
            return;
        }
        listening.close();
        listening = null;
        for (SocketChannel channel : Set.copyOf(connections)) {
            if (channel.isActive()) {
                channel.config().setSoLinger(0);
                channel.close();
            }
        }
    }

    InetSocketAddress address() {
        return new InetSocketAddress(at, port);
    }

    /** A port that nobody else takes meanwhile, where the address is somebody's own. */
    static InetSocketAddress free(String address) throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, new InetSocketAddress(address, 0).getAddress())) {
            return (InetSocketAddress) any.getLocalSocketAddress();
        }
    }

    /** As addresses are written. */
    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
