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

/**
 * The server towards clients: it accepts connections, limits and closes them, and passes their requests to the handler.
 *
 * <p>It ends gracefully in one of two ways: {@link #drain} where the node goes away, {@link #drainForHandover} where
 * another process goes on accepting on the same socket. All methods run on the event loop, but for {@link #listen},
 * which any thread may call.
 */
public final class ClientServer implements ClientConnection.Owner {
    /** Serves requests. */
    public interface RequestHandler {
        /**
         * A request can be served: it has arrived in full, or its body is streamed. It is owed one response, by
         * {@link ClientConnection#sendResponse} or {@link ClientConnection#startResponse} and what follows.
         */
        void onRequest(ClientConnection client, ClientRequest request);
    }

    /** After SIGTERM connections arrive for 0.4 s more; a tenth of a second is room for those under way. */
    private static final long ACCEPT_WHILE_DRAINING_MS = 500;

    private final MeasuredEventLoop loop;
    private RequestReader reader;
    private final SocketBudget sockets;
    private final RequestHandler handler;
    /** All connections, the least recently used first. */
    private final Set<ClientConnection> clients = new LinkedHashSet<>();

    private Channel listeningChannel;
    /** Whether another process of this node may accept on the same socket. */
    private boolean socketShared;

    private boolean draining;
    /** Whether no further connection is accepted. */
    private boolean acceptingEnded;

    private Runnable onDrained = () -> {};

    /** Creates a server that accepts nothing until {@link #listen}. */
    public ClientServer(MeasuredEventLoop loop, RequestReader reader, SocketBudget sockets, RequestHandler handler) {
        this.loop = loop;
        this.reader = reader;
        this.sockets = sockets;
        this.handler = handler;
    }

    /** Listens at this address, or on the inherited socket where there is one; null if there is none. */
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
                // Reads until nothing is left. Else a client's end right behind its request would be read a turn later,
                // after the request has been sent to a server for nobody.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        TransferLimits.newReadAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        onAccepted(channel);
                    }
                });
        socketShared = inherited != null;
        ChannelFuture opening = socketShared ? bootstrap.register() : bootstrap.bind(address);
        listeningChannel = opening.channel();
        return opening;
    }

    /** Sets the reader for requests that begin from now on. */
    public void setRequestReader(RequestReader next) {
        reader = next;
    }

    private void onAccepted(SocketChannel channel) {
        sockets.clientOpened();
        channel.closeFuture().addListener(done -> sockets.clientClosed());
        if (!sockets.hasRoomForClient() && !closeOldestIdle()) {
            // Every connection serves a request: one more would take file descriptors that those requests need.
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

    /** Closes the connections that have been idle, or amid a request or an unread response, for too long. */
    public void closeExpired() {
        long nowNanos = System.nanoTime();
        for (ClientConnection client : new ArrayList<>(clients)) {
            if (client.isOverdue(nowNanos)) {
                client.close();
            }
        }
    }

    /**
     * Ends gracefully where other processes accept on the same socket. No connection is lost with this process, so it
     * accepts none from now on, and every response ends its connection. Idle connections stay open for as long as a
     * request on them can still be answered: a request that crosses the end of its connection would be dropped.
     *
     * @param idleMs how long idle connections may stay
     * @param drained called once no connection is left
     */
    public void drainForHandover(long idleMs, Runnable drained) {
        draining = true;
        acceptingEnded = true;
        onDrained = drained;
        // Not closed: the JDK would close the standard streams with an inherited socket, and the log with them.
        listeningChannel.config().setAutoRead(false);
        loop.schedule(this::shutDownQuiescent, idleMs, TimeUnit.MILLISECONDS);
        notifyIfDrained();
    }

    /** Shuts down connections without a request; one that is arriving is waited for, and its response ends the rest. */
    private void shutDownQuiescent() {
        new ArrayList<>(clients).stream().filter(ClientConnection::isQuiescent).forEach(ClientConnection::shutDown);
    }

    /**
     * Ends gracefully where the node goes away. It is no longer ready from now on and every response ends its
     * connection; connections that the balancer in front still deals out are served, and then idle ones are closed.
     *
     * @param drained called once no connection is left and none can come
     */
    public void drain(Runnable drained) {
        draining = true;
        onDrained = drained;
        loop.schedule(
                () -> listeningChannel.close().addListener(done -> {
                    acceptingEnded = true;
                    shutDownQuiescent();
                    notifyIfDrained();
                }),
                ACCEPT_WHILE_DRAINING_MS,
                TimeUnit.MILLISECONDS);
    }

    /** Closes the listening socket and all connections at once. */
    public void close() {
        listeningChannel.close();
        new ArrayList<>(clients).forEach(ClientConnection::close);
    }

    private void notifyIfDrained() {
        if (acceptingEnded && clients.isEmpty()) {
            onDrained.run();
        }
    }

    // ---------------------------------------------------------------- the owner of its connections

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
        return draining && !socketShared ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
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
