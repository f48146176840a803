package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.common.SocketBudget;
import loadbalancer.discovery.Endpoint;
import loadbalancer.discovery.EndpointList;
import loadbalancer.http.HttpBodies;
import loadbalancer.http.StrictClientCodec;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.ServerState;
import loadbalancer.transfer.TransferLimits;

/**
 * The pool of connections to servers. Each connection carries one exchange at a time, and the most recently used idle
 * connection is used first.
 *
 * <p>Every exchange that is started is ended once, in the queue of its server or on its connection, unless
 * {@link #abort} returns it to the caller. All methods are called on the event loop.
 */
public final class ServerPool {
    private static final long MICROS_PER_MILLI = 1_000;

    private final Bootstrap dialer;
    private final EventLoop loop;
    private final SocketBudget sockets;
    private final MonotonicWallClock clock;
    private final Map<String, UpstreamServer> servers = new HashMap<>();
    /** The connections that carry an exchange, by exchange. */
    private final Map<UpstreamExchange, ServerConnection> active = new HashMap<>();
    /** The ids of cordoned servers, which get no new exchanges whatever their listed state. */
    private Set<String> cordoned = Set.of();

    private long idleTimeoutUs;

    /** Creates a pool without servers. */
    public ServerPool(
            EventLoop loop, SocketBudget sockets, MonotonicWallClock clock, long connectTimeoutUs, long idleTimeoutUs) {
        this.loop = loop;
        this.sockets = sockets;
        this.clock = clock;
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(this::openSocket)
                .option(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, TransferLimits.UPSTREAM_SEND_BUFFER_BYTES)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, TransferLimits.WRITE_WATER_MARK)
                .option(ChannelOption.RECVBUF_ALLOCATOR, TransferLimits.newReadAllocator())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new StrictClientCodec());
                    }
                });
        setTimeouts(connectTimeoutUs, idleTimeoutUs);
    }

    /**
     * Sets the timeouts that apply from now on.
     *
     * @param connectTimeoutUs how long a connection may take to open; rounded down to milliseconds, at least 1 ms
     * @param idleUs how long servers keep an idle connection open
     */
    public void setTimeouts(long connectTimeoutUs, long idleUs) {
        dialer.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / MICROS_PER_MILLI));
        idleTimeoutUs = idleUs;
    }

    /** Opens a socket and counts it until it is closed. If the system has none, nothing is counted. */
    private NioSocketChannel openSocket() {
        NioSocketChannel channel = new NioSocketChannel();
        sockets.serverOpened();
        channel.closeFuture().addListener(closed -> sockets.serverClosed());
        return channel;
    }

    // ---------------------------------------------------------------- servers

    /**
     * Applies an endpoint list. A server that is not ready gets no new exchanges: its idle connections are closed, and
     * exchanges that wait for a connection to it end as {@link AttemptResult#MOOT}. Exchanges in progress continue.
     */
    public void update(EndpointList list) {
        Map<String, UpstreamServer> missing = list.full() ? new HashMap<>(servers) : Map.of();
        for (Endpoint endpoint : list.endpoints()) {
            String id = endpoint.server().id();
            if (list.full()) {
                missing.remove(id);
            }
            if (endpoint.server().state() == ServerState.GONE) {
                remove(id);
            } else {
                servers.computeIfAbsent(id, added -> new UpstreamServer(added, active))
                        .update(endpoint, cordoned.contains(id));
            }
        }
        missing.keySet().forEach(this::remove);
    }

    private void remove(String id) {
        UpstreamServer server = servers.remove(id);
        if (server != null) {
            server.remove();
        }
    }

    /** Returns the number of listed servers in any state. */
    public int serverCount() {
        return servers.size();
    }

    /** Sets the cordoned servers, which are treated like servers that are not ready. */
    public void setCordoned(Set<String> ids) {
        cordoned = ids;
        for (UpstreamServer server : servers.values()) {
            server.setCordoned(ids.contains(server.id()));
        }
    }

    // ---------------------------------------------------------------- exchanges

    /**
     * Starts an exchange with a server, on an idle connection or after opening one. The exchange may end before this
     * returns: as {@link AttemptResult#MOOT} if the server is not ready, or as {@link AttemptResult#CONNECT_FAILED} if
     * no socket is left.
     */
    public void start(String serverId, UpstreamExchange exchange) {
        UpstreamServer server = servers.get(serverId);
        if (server == null || !server.isReady()) {
            exchange.onEnded(AttemptResult.MOOT, HttpBodies.EMPTY);
            return;
        }
        ServerConnection idle = server.newestIdle();
        if (idle != null) {
            idle.start(exchange);
            return;
        }
        if (!hasRoomSoon()) {
            exchange.onEnded(AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
            return;
        }
        server.enqueue(exchange);
        server.dialStarted();
        dialOnceThereIsRoom(server);
    }

    /** Returns whether another socket may be opened, now or after the next poll: for that, closes an idle one. */
    private boolean hasRoomSoon() {
        return sockets.hasRoomForServer() || sockets.isClosing() || closeOldestIdle() > 0;
    }

    /**
     * Removes an exchange without ending it and closes its connection, if it has one. Returns whether its whole request
     * was written to the socket, so that the server may have run it.
     */
    public boolean abort(String serverId, UpstreamExchange exchange) {
        UpstreamServer server = servers.get(serverId);
        if (server != null && server.removeWaiting(exchange)) {
            return false;
        }
        ServerConnection connection = active.remove(exchange);
        if (connection == null) {
            return false;
        }
        connection.detachExchange();
        connection.close();
        return connection.isRequestWritten();
    }

    private void dialOnceThereIsRoom(UpstreamServer server) {
        if (sockets.hasRoomForServer()) {
            dial(server);
        } else if (hasRoomSoon()) {
            loop.schedule(() -> dialOnceThereIsRoom(server), 0, TimeUnit.NANOSECONDS);
        } else {
            server.dialEnded();
            server.failExcessWaiting();
        }
    }

    private void dial(UpstreamServer server) {
        InetSocketAddress address = server.address();
        ChannelFuture connectFuture = dialer.connect(address);
        // Handled in a task of its own: a dial that fails immediately would otherwise end the exchange within this
        // call.
        Runnable completion = () -> onDialComplete(server, address, connectFuture);
        if (connectFuture.isDone()) {
            // Without a socket there is no event loop that would notify a listener.
            loop.execute(completion);
        } else {
            connectFuture.addListener(done -> loop.execute(completion));
        }
    }

    private void onDialComplete(UpstreamServer server, InetSocketAddress address, ChannelFuture connectFuture) {
        server.dialEnded();
        if (connectFuture.isSuccess()) {
            ServerConnection connection = new ServerConnection(server, address, connectFuture.channel(), clock);
            connectFuture.channel().pipeline().addLast(connection);
            connection.offer();
        } else {
            server.failExcessWaiting();
        }
    }

    // ---------------------------------------------------------------- idle connections

    /** Closes the idle connections to a server. */
    public void closeIdle(String serverId) {
        UpstreamServer server = servers.get(serverId);
        if (server != null) {
            server.closeIdle();
        }
    }

    /** Removes all servers: closes idle connections and ends exchanges that wait for one. */
    public void close() {
        List.copyOf(servers.keySet()).forEach(this::remove);
    }

    /**
     * Closes the connections that have been idle for half of the idle timeout. A request that is written while the
     * server closes the connection would end as a reset, so the node closes it long before the server does.
     */
    public void evictIdle() {
        long beforeUs = clock.nowUs() - idleTimeoutUs / 2;
        for (UpstreamServer server : servers.values()) {
            server.evictIdle(beforeUs);
        }
    }

    /** Closes the connection that has been idle for longest. Returns how many have been closed: 1, or 0 if none is. */
    public int closeOldestIdle() {
        ServerConnection oldest = null;
        for (UpstreamServer server : servers.values()) {
            ServerConnection last = server.oldestIdle();
            if (last != null && (oldest == null || last.idleSinceUs() < oldest.idleSinceUs())) {
                oldest = last;
            }
        }
        if (oldest != null) {
            oldest.close();
        }
        return oldest == null ? 0 : 1;
    }
}
