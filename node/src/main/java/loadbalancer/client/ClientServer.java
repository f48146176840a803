package loadbalancer.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.SocketBudget;
import loadbalancer.eventloop.LoopLagMeter;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.transfer.TransferLimits;

/** The side that clients see: connections, what they ask, and the answers they get. */
public final class ClientServer implements ClientConnection.Owner {
    /** What becomes of requests. */
    public interface RequestHandler {
        /** A whole request that can be read; it is owed one {@link ClientConnection#sendResponse}. */
        void onRequest(ClientConnection client, ClientRequest request);
    }

    /** After SIGTERM connections arrive for 0.4 s more; a tenth is room for those under way. */
    private static final long ARRIVING_MS = 500;

    private final MeasuredEventLoop loop;
    private RequestReader reader;
    private final SocketBudget sockets;
    private final RequestHandler handler;
    /** All connections, the longest unused first. */
    private final Set<ClientConnection> clients = new LinkedHashSet<>();

    private Channel listening;
    /** Whether another process of this node may accept on the same socket. */
    private boolean shared;

    private boolean draining;
    private boolean closed;
    private Runnable onDrained = () -> {};

    /** The client side of a node; it accepts nothing until told to listen. */
    public ClientServer(MeasuredEventLoop loop, RequestReader reader, SocketBudget sockets, RequestHandler handler) {
        this.loop = loop;
        this.reader = reader;
        this.sockets = sockets;
        this.handler = handler;
    }

    /** Listens at this address, or on the socket that is inherited where there is one. */
    public ChannelFuture listen(InetSocketAddress address, ServerSocketChannel inherited) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channelFactory(
                        () -> inherited == null ? new NioServerSocketChannel() : new NioServerSocketChannel(inherited))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, TransferLimits.SOCKET_SEND_BUFFER_BYTES)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, TransferLimits.WRITE_WATER_MARK)
                // Until nothing is left to read: a client's end may stand right behind its request.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        TransferLimits.newReadAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted(channel);
                    }
                });
        shared = inherited != null;
        ChannelFuture opening = shared ? bootstrap.register() : bootstrap.bind(address);
        listening = opening.channel();
        return opening;
    }

    /** Requests that come from now on are read by this. */
    public void setRequestReader(RequestReader next) {
        reader = next;
    }

    private void accepted(SocketChannel channel) {
        sockets.clientOpened();
        channel.closeFuture().addListener(done -> sockets.clientClosed());
        if (!sockets.hasRoomForClient() && !closeOldestIdle()) {
            // Every connection has a request open: one more would take descriptors that those need.
            channel.close();
            return;
        }
        StrictServerCodec codec = new StrictServerCodec();
        ClientConnection client = new ClientConnection(channel, codec, this);
        clients.add(client);
        channel.pipeline().addLast(codec, client);
    }

    private boolean closeOldestIdle() {
        for (ClientConnection client : clients) {
            if (client.isIdle()) {
                client.close();
                return true;
            }
        }
        return false;
    }

    /** Closes connections that have been idle, or amid a request or an unread answer, for too long. */
    public void closeExpired() {
        long now = System.nanoTime();
        for (ClientConnection client : new ArrayList<>(clients)) {
            if (client.isOverdue(now)) {
                client.close();
            }
        }
    }

    /**
     * Ends where others accept on the same socket: no connection is lost with it, so none is accepted from
     * now on. Those that are idle stay open for as long as a request on them can still be answered, since
     * one that crossed their end would be turned back; every answer ends its connection.
     *
     * @param idleMs how long idle connections may stay
     */
    public void drainForHandover(long idleMs, Runnable drained) {
        draining = true;
        closed = true;
        onDrained = drained;
        // Not closed: with an inherited socket the JDK would end the standard streams, and with them the log.
        listening.config().setAutoRead(false);
        loop.schedule(this::shutDownQuiescent, idleMs, TimeUnit.MILLISECONDS);
        notifyIfDrained();
    }

    /** What has begun to come is waited for, and its answer ends the connection. */
    private void shutDownQuiescent() {
        new ArrayList<>(clients).stream().filter(ClientConnection::isQuiescent).forEach(ClientConnection::shutDown);
    }

    /**
     * No longer ready: new connections are served while the front may still deal them out, every answer
     * ends its connection, and then all that is idle is closed.
     *
     * @param drained called once no connection is left and none can come
     */
    public void drain(Runnable drained) {
        draining = true;
        onDrained = drained;
        loop.schedule(
                () -> listening.close().addListener(done -> {
                    closed = true;
                    shutDownQuiescent();
                    notifyIfDrained();
                }),
                ARRIVING_MS,
                TimeUnit.MILLISECONDS);
    }

    public void close() {
        listening.close();
        new ArrayList<>(clients).forEach(ClientConnection::close);
    }

    private void notifyIfDrained() {
        if (closed && clients.isEmpty()) {
            onDrained.run();
        }
    }

    // ---------------------------------------------------------------- what connections ask of their owner

    @Override
    public LoopLagMeter lagMeter() {
        return loop.lagMeter();
    }

    @Override
    public RequestReader reader() {
        return reader;
    }

    @Override
    public boolean isDraining() {
        return draining;
    }

    @Override
    public HttpResponseStatus readiness() {
        return draining && !shared ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
    }

    @Override
    public void onRequestStarted(ClientConnection client) {
        clients.remove(client);
        clients.add(client);
    }

    @Override
    public void onRequest(ClientConnection client, ClientRequest request) {
        handler.onRequest(client, request);
    }

    @Override
    public void onClosed(ClientConnection client) {
        clients.remove(client);
        notifyIfDrained();
    }
}
