package loadbalancer.client;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.AttributeKey;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.IntUnaryOperator;
import loadbalancer.common.ConnectionEvent;
import loadbalancer.common.SocketBudget;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.net.AdmittingServerChannel;

/**
 * Accepts connections of clients as far as there are descriptors for them. Where there is no room, idle connections
 * are closed; where none is idle, connections wait in the listen queue until there is room. Used on the event loop
 * only.
 *
 * <p>Also estimates when a connection may have been opened, as it may have waited in the listen queue.
 */
final class ClientAcceptor implements AdmittingServerChannel.Admission {
    /** How many connections to close in a turn of the event loop at most, while further ones wait. */
    private static final int MAX_EVICTIONS_PER_TURN = 32;

    /** The first failure of the system may be over at once; a pause after further ones keeps the loop from spinning. */
    private static final int FAILURES_WITHOUT_PAUSE = 1;

    private static final long PAUSE_AFTER_FAILURE_MILLIS = 5;

    /** There is no event for an empty queue, so whether others wait is only known with room for them. */
    private static final long RETRY_CLOSE_MILLIS = 10;

    private static final AttributeKey<Long> OPENED_AT_NANOS = AttributeKey.valueOf("openedAtNanos");

    private final MeasuredEventLoop loop;
    private final SocketBudget sockets;
    private final ConnectionLog log;
    private final IntSupplier openConnections;
    /** Closes up to this many idle connections of clients, and returns how many it has closed. */
    private final IntUnaryOperator closeIdleClients;
    /** Closes an idle connection to a server, and returns how many it has closed. */
    private final IntSupplier closeIdleServer;

    private final ArrivalEstimator arrivals;

    private Channel listener;
    private boolean paused;
    private boolean ended;
    private boolean queueEmpty = true;
    private int evictions = 1;
    private int failuresInARow;
    /** The turn of the event loop in which a connection was last accepted. */
    private long acceptedInTurn;

    /** The turn in which the listening socket was last ready, or since which it is polled again. */
    private long polledInTurn;

    /** Whether the last read of the listening socket has ended because nothing more waited. */
    private boolean emptied;

    /** @param maxQueueLength how many connections the listen queue holds at most */
    ClientAcceptor(
            MeasuredEventLoop loop,
            SocketBudget sockets,
            ConnectionLog log,
            IntSupplier openConnections,
            IntUnaryOperator closeIdleClients,
            IntSupplier closeIdleServer,
            int maxQueueLength) {
        this.loop = loop;
        this.sockets = sockets;
        this.log = log;
        this.openConnections = openConnections;
        this.closeIdleClients = closeIdleClients;
        this.closeIdleServer = closeIdleServer;
        arrivals = new ArrivalEstimator(maxQueueLength);
    }

    /** Sets the listening socket, before it accepts. */
    void setListener(Channel listeningChannel) {
        listener = listeningChannel;
    }

    /** Returns the earliest time at which the client may have opened a connection, by {@link System#nanoTime}. */
    static long openedAtNanos(Channel accepted) {
        return accepted.attr(OPENED_AT_NANOS).get();
    }

    // ---------------------------------------------------------------- Admission

    @Override
    public boolean admits() {
        if (ended) {
            return false;
        }
        onPolled();
        if (sockets.hasRoomForClient()) {
            return true;
        }
        onQueueNotEmptied();
        // What was accepted in this turn is not registered yet, and what was closed has its descriptor until the next.
        boolean changesInNextTurn = sockets.isClosing() || acceptedInTurn == polledInTurn;
        if (!changesInNextTurn && !makeRoom()) {
            log.onNotAccepted(ConnectionEvent.ACCEPT_PAUSED, openConnections.getAsInt(), null);
            pause(ConnectionCloser.FIRST_REQUEST_GRACE_MILLIS);
        }
        return false;
    }

    /** Notices that the queue has been empty: the listening socket was polled in a turn in which nothing waited. */
    private void onPolled() {
        long turn = loop.lagMeter().turnNumber();
        if (turn > polledInTurn + 1) {
            queueEmpty = true;
        }
        polledInTurn = turn;
    }

    /** Closes idle connections: the more, the longer others wait. Returns whether descriptors become free. */
    private boolean makeRoom() {
        if (sockets.isWithinClientShare() && closeIdleServer.getAsInt() > 0) {
            return true;
        }
        int closed = closeIdleClients.applyAsInt(evictions);
        evictions = Math.min(2 * evictions, MAX_EVICTIONS_PER_TURN);
        return closed > 0;
    }

    @Override
    public void onAccepted(NioSocketChannel channel) {
        failuresInARow = 0;
        acceptedInTurn = loop.lagMeter().turnNumber();
        sockets.clientOpened();
        channel.closeFuture().addListener(closed -> sockets.clientClosed());
        long earliestNanos = loop.lagMeter().earliestArrivalSincePollNanos();
        long openedNanos = queueEmpty ? earliestNanos : Math.min(earliestNanos, arrivals.onRead(1, earliestNanos));
        channel.attr(OPENED_AT_NANOS).set(openedNanos);
    }

    @Override
    public void onQueueEmpty() {
        queueEmpty = true;
        emptied = true;
        evictions = 1;
        failuresInARow = 0;
    }

    private void onQueueNotEmptied() {
        if (queueEmpty) {
            queueEmpty = false;
            arrivals.onEmpty(loop.lagMeter().earliestArrivalSincePollNanos());
        }
    }

    @Override
    public void onAcceptFailed(IOException cause) {
        onQueueNotEmptied();
        log.onNotAccepted(ConnectionEvent.ACCEPT_FAILED, openConnections.getAsInt(), cause);
        failuresInARow++;
        if (failuresInARow > FAILURES_WITHOUT_PAUSE) {
            // The process may have fewer descriptors than it was told.
            closeIdleClients.applyAsInt(1);
            pause(PAUSE_AFTER_FAILURE_MILLIS);
        }
    }

    // ---------------------------------------------------------------- pausing and ending

    private void pause(long millis) {
        paused = true;
        listener.config().setAutoRead(false);
        loop.schedule(this::onRoomPossible, millis, TimeUnit.MILLISECONDS);
    }

    /** Accepts again if that has paused: a connection has been closed or may be closed by now. */
    void onRoomPossible() {
        if (paused && !ended) {
            paused = false;
            polledInTurn = loop.lagMeter().turnNumber();
            listener.config().setAutoRead(true);
        }
    }

    /** Stops accepting for good, and leaves the listening socket open for other processes. */
    void end() {
        ended = true;
        listener.config().setAutoRead(false);
    }

    /**
     * Closes the listening socket as soon as every connection that the system has accepted is accepted here: the system
     * resets those that are left.
     */
    void closeListener(Runnable onClosed) {
        onRoomPossible();
        onQueueNotEmptied();
        emptied = false;
        ((AbstractNioChannel.NioUnsafe) listener.unsafe()).read();
        if (emptied) {
            ended = true;
            listener.close().addListener(closed -> onClosed.run());
        } else {
            loop.schedule(() -> closeListener(onClosed), RETRY_CLOSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
