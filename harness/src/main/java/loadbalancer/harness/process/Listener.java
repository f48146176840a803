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

/** The HTTP listener of a fake on loopback. It keeps its port when it is closed and opened again. */
final class Listener {
    /** The largest body that a node forwards. */
    private static final int MAX_BODY_BYTES = 32 << 20;

    private final EventLoop loop;
    private final InetAddress bindAddress;
    private final Supplier<ChannelHandler> handler;
    private final Set<SocketChannel> connections = new HashSet<>();
    private Channel serverChannel;
    private int port;

    /**
     * @param address used by this fake only, so that no other process takes the port while the listener is closed
     * @param handler creates the handler of one connection, which receives aggregated requests
     */
    Listener(EventLoop loop, String address, Supplier<ChannelHandler> handler) {
        this.loop = loop;
        bindAddress = new InetSocketAddress(address, 0).getAddress();
        this.handler = handler;
    }

    /**
     * Opens it. The system chooses the port at the first call, which must not be on the loop and waits for the result;
     * later calls use the same port.
     */
    void open() {
        if (serverChannel != null) {
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
                .bind(bindAddress, port);
        serverChannel = opening.channel();
        if (loop.inEventLoop()) {
            opening.addListener(opened -> {
                if (!opened.isSuccess()) {
                    throw new IllegalStateException("cannot listen at " + bindAddress + ":" + port, opened.cause());
                }
            });
        } else {
            opening.syncUninterruptibly();
        }
        if (port == 0) {
            port = ((InetSocketAddress) serverChannel.localAddress()).getPort();
        }
    }

    /** Closes it and resets all of its connections. */
    void close() {
        if (serverChannel == null) {
            return;
        }
        serverChannel.close();
        serverChannel = null;
        for (SocketChannel channel : Set.copyOf(connections)) {
            if (channel.isActive()) {
                channel.config().setSoLinger(0);
                channel.close();
            }
        }
    }

    InetSocketAddress address() {
        return new InetSocketAddress(bindAddress, port);
    }

    /** Returns a free port at this address. It stays free as long as only the caller uses the address. */
    static InetSocketAddress freeAddress(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, new InetSocketAddress(address, 0).getAddress())) {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }
    }

    /** Formats an address as host:port. */
    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
