package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.common.SocketBudget;
import loadbalancer.discovery.Endpoint;
import loadbalancer.discovery.EndpointList;
import loadbalancer.http.StrictClientCodec;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.ServerState;
import loadbalancer.transfer.TransferLimits;

/** The connections to servers: one exchange at a time on each, the most recently used first. */
public final class ServerPool {
    private static final byte[] NO_BODY = {};

    private final Bootstrap dialer;
    private final EventLoop loop;
    private final SocketBudget sockets;
    private long connIdleUs;
    private final MonotonicWallClock clock;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    /** The connections that carry an exchange. */
    private final Map<UpstreamExchange, ServerConnection> carriers = new HashMap<>();
    /** Servers that get nothing new, whatever the list says of them. */
    private Set<String> cordoned = Set.of();

    /** A pool without servers. */
    public ServerPool(
            EventLoop loop, SocketBudget sockets, MonotonicWallClock clock, long connectTimeoutUs, long connIdleUs) {
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
        setTimeouts(connectTimeoutUs, connIdleUs);
    }

    /** New connections may take this long to open, and idle ones are closed before the servers do it. */
    public void setTimeouts(long connectTimeoutUs, long idleUs) {
        dialer.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectTimeoutUs / 1_000));
        connIdleUs = idleUs;
    }

    /** A server, at the address that discovery last gave. */
    private final class Upstream implements ServerConnection.Home {
        private final String id;
        private final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
        /** Exchanges for which a connection is being opened; they take the first that is free. */
        private final ArrayDeque<UpstreamExchange> awaiting = new ArrayDeque<>();

        private InetSocketAddress endpoint;
        private long startedAtUs;
        private boolean listedReady;
        private boolean ready;
        private int dialing;

        Upstream(String id) {
            this.id = id;
        }

        @Override
        public String serverId() {
            return id;
        }

        @Override
        public boolean wants(InetSocketAddress opened, long openedAtUs) {
            return ready && opened.equals(endpoint) && openedAtUs >= startedAtUs;
        }

        @Override
        public void free(ServerConnection connection) {
            idle.push(connection);
            UpstreamExchange next;
            while ((next = awaiting.poll()) != null && !next.mayBegin()) {
                next.ended(AttemptResult.CONNECT_FAILED, NO_BODY);
            }
            if (next != null) {
                connection.carry(next);
            }
        }

        @Override
        public void useless() {
            // Its dial was for one that still waits, perhaps at an address that has changed since.
            if (ready) {
                failIfUndialed();
            }
        }

        /** One dial was made for each that waits; some may have found a connection that came free. */
        private void failIfUndialed() {
            if (awaiting.size() > dialing) {
                awaiting.poll().ended(AttemptResult.CONNECT_FAILED, NO_BODY);
            }
        }

        @Override
        public void carries(ServerConnection connection, UpstreamExchange exchange) {
            idle.remove(connection);
            carriers.put(exchange, connection);
        }

        @Override
        public void carried(UpstreamExchange exchange) {
            carriers.remove(exchange);
        }

        @Override
        public void ends(ServerConnection connection) {
            idle.remove(connection);
        }
    }

    // ---------------------------------------------------------------- the list

    /** Follows the list. Word of a drain takes effect at once, also for what awaits a connection. */
    public void update(EndpointList list) {
        Map<String, Upstream> missing = list.full() ? new HashMap<>(upstreams) : Map.of();
        for (Endpoint endpoint : list.endpoints()) {
            String id = endpoint.server().id();
            if (list.full()) {
                missing.remove(id);
            }
            if (endpoint.server().state() == ServerState.GONE) {
                remove(id);
                continue;
            }
            Upstream upstream = upstreams.computeIfAbsent(id, Upstream::new);
            // What was opened to another address, or to a process that has ended, is of no more use: a
            // request written to it would end as a reset, which may not be repeated.
            boolean moved = !endpoint.address().equals(upstream.endpoint)
                    || endpoint.server().startedAtUs() > upstream.startedAtUs;
            upstream.endpoint = endpoint.address();
            upstream.startedAtUs = endpoint.server().startedAtUs();
            upstream.listedReady = endpoint.server().state() == ServerState.READY;
            upstream.ready = upstream.listedReady && !cordoned.contains(id);
            if (moved || !upstream.ready) {
                List.copyOf(upstream.idle).stream().filter(c -> !c.isUsable()).forEach(ServerConnection::close);
            }
            if (!upstream.ready) {
                turnAway(upstream);
            }
        }
        missing.keySet().forEach(this::remove);
    }

    /** How many servers are listed, whatever their state. */
    public int serverCount() {
        return upstreams.size();
    }

    /** These and no others are kept out by hand: as with a drain, also what awaits a connection is freed. */
    public void setCordoned(Set<String> ids) {
        cordoned = ids;
        for (Upstream upstream : upstreams.values()) {
            upstream.ready = upstream.listedReady && !ids.contains(upstream.id);
            if (!upstream.ready) {
                closeAll(upstream.idle);
                turnAway(upstream);
            }
        }
    }

    private void remove(String id) {
        Upstream upstream = upstreams.remove(id);
        if (upstream != null) {
            upstream.ready = false;
            closeAll(upstream.idle);
            turnAway(upstream);
        }
    }

    /** Ends what awaits a connection to a server that wants nothing new: it never ran. */
    private static void turnAway(Upstream upstream) {
        UpstreamExchange exchange;
        while ((exchange = upstream.awaiting.poll()) != null) {
            exchange.ended(AttemptResult.MOOT, NO_BODY);
        }
    }

    private static void closeAll(ArrayDeque<ServerConnection> idle) {
        new ArrayList<>(idle).forEach(ServerConnection::close);
    }

    // ---------------------------------------------------------------- exchanges

    /** Starts an exchange; the connection that carries it tells its end. */
    public void start(String serverId, UpstreamExchange exchange) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream == null || !upstream.ready) {
            exchange.ended(AttemptResult.MOOT, NO_BODY);
            return;
        }
        ServerConnection free = upstream.idle.peek();
        if (free != null) {
            free.carry(exchange);
            return;
        }
        if (!sockets.hasRoomForServer() && !closeOldestIdle()) {
            exchange.ended(AttemptResult.CONNECT_FAILED, NO_BODY);
            return;
        }
        upstream.awaiting.add(exchange);
        dial(upstream);
    }

    /** Gives an exchange up without telling its end. True if its request may have been written whole. */
    public boolean giveUp(String serverId, UpstreamExchange exchange) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream != null && upstream.awaiting.remove(exchange)) {
            return false;
        }
        ServerConnection connection = carriers.remove(exchange);
        if (connection == null) {
            return false;
        }
        connection.letGo();
        connection.close();
        return connection.isWritten();
    }

    private void dial(Upstream upstream) {
        upstream.dialing++;
        sockets.serverOpened();
        InetSocketAddress to = upstream.endpoint;
        ChannelFuture opening = dialer.connect(to);
        opening.channel().closeFuture().addListener(closed -> sockets.serverClosed());
        // Also a dial that fails on the spot is heard of from the loop, never from inside this call.
        opening.addListener(done -> loop.execute(() -> dialed(upstream, to, opening)));
    }

    private void dialed(Upstream upstream, InetSocketAddress to, ChannelFuture opening) {
        upstream.dialing--;
        if (opening.isSuccess()) {
            ServerConnection connection = new ServerConnection(upstream, to, opening.channel(), clock);
            opening.channel().pipeline().addLast(connection);
            connection.offer();
        } else {
            upstream.failIfUndialed();
        }
    }

    // ---------------------------------------------------------------- idle connections

    /** Closes the idle connections to a server. */
    public void closeIdle(String serverId) {
        Upstream upstream = upstreams.get(serverId);
        if (upstream != null) {
            closeAll(upstream.idle);
        }
    }

    public void close() {
        List.copyOf(upstreams.keySet()).forEach(this::remove);
    }

    /** Closes what has been idle for half of what servers allow: a request that met their close resets. */
    public void evictIdle() {
        long before = clock.nowUs() - connIdleUs / 2;
        for (Upstream upstream : upstreams.values()) {
            while (!upstream.idle.isEmpty() && upstream.idle.peekLast().idleSinceUs() < before) {
                upstream.idle.peekLast().close();
            }
        }
    }

    private boolean closeOldestIdle() {
        ServerConnection oldest = null;
        for (Upstream upstream : upstreams.values()) {
            ServerConnection last = upstream.idle.peekLast();
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
