package loadbalancer.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import loadbalancer.common.ConnectionEvent;
import loadbalancer.common.EventCounters;
import loadbalancer.common.SocketBudget;
import loadbalancer.eventloop.LoopLagMeter;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.net.AdmittingServerChannel;
import loadbalancer.transfer.TransferLimits;

/**
 * The server for clients: it accepts connections, limits their number, closes inactive ones, and passes requests to the
 * handler.
 *
 * <p>A graceful shutdown is either {@link #drain}, if the node goes away, or {@link #drainForHandover}, if another
 * process continues to accept on the same socket. {@link #listen} may be called from any thread, all other methods only
 * on the event loop.
 */
public final class ClientServer implements ClientConnectionOwner {
    /** Handles the requests of all clients. */
    public interface RequestHandler {
        /**
         * Handles a request that has arrived in full or whose body is streamed. The handler sends exactly one response:
         * by {@link ClientConnection#sendResponse}, or by {@link ClientConnection#startResponse} followed by
         * {@link ClientConnection#endResponse} or {@link ClientConnection#abortResponse}.
         */
        void onRequest(ClientConnection client, ClientRequest request);

        /** A request of this class, by its index in the registry, was rejected without being passed on. */
        void onRequestRejected(int classIndex);
    }

    private static final int ACCEPT_BACKLOG = 1_024;
    /** The longest queue that Linux allows by default, for a socket that another program has opened. */
    private static final int INHERITED_BACKLOG = 4_096;

    /** A few milliseconds of work. */
    private static final int MAX_REJECTIONS_PER_TURN = 512;

    private final MeasuredEventLoop loop;
    private RequestReader reader;
    private final SocketBudget sockets;
    private final IntSupplier closeIdleServer;
    private final RequestHandler handler;
    /** All connections, least recently used first: by the start of their last request, or by their accept. */
    private final Set<ClientConnection> clients = new LinkedHashSet<>();

    private final ReadAheadBudget readAheadBudget = ReadAheadBudget.ofHeap();

    private final TurnQuota rejectionQuota;
    private final InputOverflowLog overflows = new InputOverflowLog();
    private final ConnectionLog connectionLog;

    private ClientAcceptor acceptor;
    private Channel listeningChannel;
    /** Whether the listening socket is inherited, so that another process of this node may accept on it too. */
    private boolean socketShared;

    private boolean draining;
    /** Whether accepting has stopped for good. */
    private boolean acceptingEnded;
    /** Whether connections without a request are closed instead of kept alive. */
    private boolean closingQuiescent;

    private Runnable onDrained = () -> {};

    /**
     * Creates a server that accepts nothing until {@link #listen}.
     *
     * @param closeIdleServer closes an idle connection to a server, to make room, and returns how many it has closed
     */
    public ClientServer(
            MeasuredEventLoop loop,
            RequestReader reader,
            SocketBudget sockets,
            IntSupplier closeIdleServer,
            EventCounters<ConnectionEvent> counters,
            RequestHandler handler) {
        this.loop = loop;
        this.reader = reader;
        this.sockets = sockets;
        this.closeIdleServer = closeIdleServer;
        this.handler = handler;
        connectionLog = new ConnectionLog(counters);
        rejectionQuota = new TurnQuota(loop.lagMeter(), MAX_REJECTIONS_PER_TURN);
    }

    /**
     * Starts to listen. The returned future is done when the socket is bound or, if inherited, registered.
     *
     * @param address the address to bind; unused with an inherited socket
     * @param inherited the socket to listen on, or null to open one
     */
    public ChannelFuture listen(InetSocketAddress address, ServerSocketChannel inherited) {
        socketShared = inherited != null;
        acceptor = new ClientAcceptor(
                loop,
                sockets,
                connectionLog,
                clients::size,
                this::closeIdle,
                closeIdleServer,
                socketShared ? INHERITED_BACKLOG : ACCEPT_BACKLOG);
        sockets.setCloseListener(acceptor::onRoomPossible);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> openListener(inherited))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                // Accepts all connections that wait in one turn. Otherwise those of a crowd would wait for many turns,
                // and what has happened on them since would seem to be new.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPT_BACKLOG))
                .childOption(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, TransferLimits.SOCKET_SEND_BUFFER_BYTES)
                .childOption(ChannelOption.SO_RCVBUF, TransferLimits.SOCKET_RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, TransferLimits.WRITE_WATER_MARK)
                // Reads again even if the last read did not fill its buffer. Otherwise a disconnect right after a
                // request would be read a turn later, when the request has already been sent to a server.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        TransferLimits.newReadAllocator().respectMaybeMoreData(false))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        onAccepted(channel);
                    }
                });
        ChannelFuture listenFuture = socketShared ? bootstrap.register() : bootstrap.bind(address);
        listeningChannel = listenFuture.channel();
        return listenFuture;
    }

    private ServerChannel openListener(ServerSocketChannel inherited) {
        AdmittingServerChannel channel = inherited == null
                ? new AdmittingServerChannel(acceptor)
                : new AdmittingServerChannel(inherited, acceptor);
        acceptor.setListener(channel);
        return channel;
    }

    /** Sets the reader for the heads of requests that start from now on. */
    public void setRequestReader(RequestReader next) {
        reader = next;
    }

    private void onAccepted(SocketChannel channel) {
        ClientConnection client = new ClientConnection(channel, this, ClientAcceptor.openedAtNanos(channel));
        clients.add(client);
        client.addHandlers();
    }

    /** Closes connections without a request, least recently used first. Returns how many have been closed. */
    private int closeIdle(int count) {
        int closed = closeOldest(count, closer -> closer.mayMakeRoom() && closer.isQuiescent());
        return closed > 0 ? closed : closeOldest(1, ConnectionCloser::mayMakeRoom);
    }

    private int closeOldest(int count, Predicate<ConnectionCloser> closable) {
        int closed = 0;
        for (ClientConnection client : List.copyOf(clients)) {
            if (closed < count && client.closer().holdsAfterReading(closable)) {
                connectionLog.onEnd(ConnectionEvent.EVICTED, client.closer(), clients.size());
                client.closer().close();
                closed++;
            }
        }
        return closed;
    }

    /**
     * Closes connections that have been idle, or stalled while receiving a request or sending a response, for too long.
     */
    public void closeExpired() {
        for (ClientConnection client : List.copyOf(clients)) {
            if (client.closer().holdsAfterReading(closer -> closer.isOverdue(System.nanoTime()))) {
                connectionLog.onEnd(ConnectionEvent.TIMED_OUT, client.closer(), clients.size());
                client.closer().close();
            }
        }
    }

    /**
     * Shuts down gracefully if other processes accept on the same socket. They accept the connections that are still
     * queued on it, so this process stops accepting immediately. Each response closes its connection unless requests
     * are pipelined. Connections without a request stay open for {@code idleMs} more, in which a request on them is
     * still served, and are then closed.
     *
     * @param idleMs how long connections without a request stay open, in milliseconds
     * @param drained called once no connection is left
     */
    public void drainForHandover(long idleMs, Runnable drained) {
        draining = true;
        acceptingEnded = true;
        onDrained = drained;
        // Not closed: closing an inherited socket makes the JDK close the standard streams, which carry the log.
        acceptor.end();
        loop.schedule(this::shutDownQuiescent, idleMs, TimeUnit.MILLISECONDS);
        notifyIfDrained();
    }

    /**
     * Shuts down the connections without a request, now and whenever a response leaves one without. Those on which a
     * part of a request has arrived stay open: the response to that request closes them.
     */
    private void shutDownQuiescent() {
        closingQuiescent = true;
        List.copyOf(clients).forEach(this::shutDownIfQuiescent);
    }

    private void shutDownIfQuiescent(ClientConnection client) {
        if (client.closer().holdsAfterReading(ConnectionCloser::isQuiescent)) {
            connectionLog.onEnd(ConnectionEvent.SHUT_DOWN, client.closer(), clients.size());
            client.closer().shutDown();
        }
    }

    /**
     * Shuts down gracefully if the node goes away. Readiness checks fail from now on unless the socket is inherited,
     * and each response closes its connection unless requests are pipelined. New connections, which the balancer in
     * front of the node still opens for a while, are accepted for {@code acceptMs} more; then the listening socket and
     * the connections without a request are closed.
     *
     * @param acceptMs how long connections are accepted, in milliseconds
     * @param drained called once no connection is left and no new one can be accepted
     */
    public void drain(long acceptMs, Runnable drained) {
        draining = true;
        onDrained = drained;
        loop.schedule(this::stopListening, acceptMs, TimeUnit.MILLISECONDS);
    }

    private void stopListening() {
        shutDownQuiescent();
        acceptor.closeListener(() -> {
            acceptingEnded = true;
            shutDownQuiescent();
            notifyIfDrained();
        });
    }

    /** Closes the listening socket and all connections immediately. */
    public void close() {
        listeningChannel.close();
        List.copyOf(clients).forEach(client -> client.closer().close());
    }

    private void notifyIfDrained() {
        if (acceptingEnded && clients.isEmpty()) {
            onDrained.run();
        }
    }

    // ---------------------------------------------------------------- ClientConnectionOwner

    @Override
    public LoopLagMeter lagMeter() {
        return loop.lagMeter();
    }

    @Override
    public ReadAheadBudget readAheadBudget() {
        return readAheadBudget;
    }

    @Override
    public TurnQuota rejectionQuota() {
        return rejectionQuota;
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
    public void onInputOverflow(long heldBytes) {
        overflows.record(heldBytes, readAheadBudget.heldBytes());
    }

    @Override
    public void onRequestRejected(int classIndex) {
        if (classIndex != RejectedRequests.NO_CLASS) {
            handler.onRequestRejected(classIndex);
        }
    }

    @Override
    public void onQuiescent(ClientConnection client) {
        if (closingQuiescent) {
            // In a task of its own, as what is read then may start another request.
            loop.execute(() -> shutDownIfQuiescent(client));
        } else {
            acceptor.onRoomPossible();
        }
    }

    @Override
    public void onClosed(ClientConnection client) {
        clients.remove(client);
        notifyIfDrained();
    }
}
