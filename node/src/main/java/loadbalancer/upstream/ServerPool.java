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
 * The pool of connections to servers: one exchange at a time on each connection, the most recently used one first.
 *
 * <p>Every exchange that is started ends once: in the queue of its server, on its connection, or by {@link #abort},
 * which hands it back. All methods run on the event loop.
 */
public final class ServerPool {
    private static final long MICROS_PER_MILLI = 1_000;

    private final Bootstrap dialer;
    private final EventLoop loop;
    private final SocketBudget sockets;
    private final MonotonicWallClock clock;
    private final Map<String, UpstreamServer> servers = new HashMap<>();
    /** The connections that carry an exchange. */
    private final Map<UpstreamExchange, ServerConnection> active = new HashMap<>();
    /** Servers that get nothing new, whatever the list says of them. */
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
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, TransferLimits.SOCKET_SEND_BUFFER_BYTES)
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
     * Sets the timeouts from now on.
     *
     * @param connectTimeoutUs how long a connection may take to open
     * @param idleUs for how long servers keep a connection open that is idle
     */
    public void setTimeouts(long connectTimeoutUs, long idleUs) {
        dialer.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / MICROS_PER_MILLI));
        idleTimeoutUs = idleUs;
    }

    // ---------------------------------------------------------------- servers

    /** Follows the endpoint list. A drain takes effect at once, also for exchanges that wait for a connection. */
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

    /** How many servers are listed, whatever their state. */
    public int serverCount() {
        return servers.size();
    }

    /** Sets which servers operators keep out; as with a drain, also what waits for a connection to them ends. */
    public void setCordoned(Set<String> ids) {
        cordoned = ids;
        for (UpstreamServer server : servers.values()) {
            server.setCordoned(ids.contains(server.id()));
        }
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange with a server. It may end before this returns. */
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
        if (!sockets.hasRoomForServer() && !closeOldestIdle()) {
            exchange.onEnded(AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
            return;
        }
        server.enqueue(exchange);
        dial(server);
    }

    /** Takes an exchange back without ending it. Returns whether its request may have been written in full. */
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

    private void dial(UpstreamServer server) {
        server.dialStarted();
        sockets.serverOpened();
        InetSocketAddress address = server.address();
        ChannelFuture opening = dialer.connect(address);
        opening.channel().closeFuture().addListener(closed -> sockets.serverClosed());
        // By way of the loop, as a dial that fails on the spot would else end the exchange from inside this call.
        opening.addListener(done -> loop.execute(() -> onDialComplete(server, address, opening)));
    }

    private void onDialComplete(UpstreamServer server, InetSocketAddress address, ChannelFuture opening) {
        server.dialEnded();
        if (opening.isSuccess()) {
            ServerConnection connection = new ServerConnection(server, address, opening.channel(), clock);
            opening.channel().pipeline().addLast(connection);
            connection.offer();
        } else {
            server.failIfNoDialPending();
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

    /** Removes all servers: closes idle connections and ends what waits for one. */
    public void close() {
        List.copyOf(servers.keySet()).forEach(this::remove);
    }

    /**
     * Closes the connections that have been idle for half of the idle timeout. A request that is written while the
     * server closes the connection ends as a reset; the node closes long before the server does, so the two don't
     * cross.
     */
    public void evictIdle() {
        long beforeUs = clock.nowUs() - idleTimeoutUs / 2;
        for (UpstreamServer server : servers.values()) {
            server.evictIdle(beforeUs);
        }
    }

    private boolean closeOldestIdle() {
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
        return oldest != null;
    }
}
