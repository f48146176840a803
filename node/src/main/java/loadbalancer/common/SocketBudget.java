package loadbalancer.common;

import java.util.function.LongSupplier;

/**
 * Counts the open sockets of a node against the file descriptor limit of the process. Whoever opens a socket asks
 * first.
 *
 * <p>Clients may use only a share of the descriptors. If many clients could take all of them, connections to servers
 * would fail, and no request could be served.
 *
 * <p>A closed socket keeps its descriptor until the event loop polls again, because the JDK closes a registered socket
 * only once its selector has let go of it. Until then it counts as closing, and takes its room still.
 *
 * <p>Not thread-safe. Must be used on the node's event loop only.
 */
public final class SocketBudget {
    /** Descriptors for the JVM, the jar, the listening socket and the watch of discovery, with a reserve. */
    private static final int RESERVED_DESCRIPTORS = 48;
    /** The minimum for clients and servers together, however low the limit of the process is. */
    private static final int MIN_SOCKETS = 8;
    /** The share that clients may use. The rest is for servers, because a request also needs a server connection. */
    private static final double MAX_CLIENT_SHARE = 0.6;

    private final int maxSockets;
    private final LongSupplier turnNumber;
    /** Including those that are closing. */
    private int openSockets;

    private int openClientSockets;
    private int closingSockets;
    private int closingClientSockets;
    /** The turn of the event loop in which the closing sockets were closed. */
    private long closedInTurn;

    private Runnable onClosed = () -> {};

    /**
     * Creates a budget with no sockets open.
     *
     * @param descriptorLimit the file descriptor limit of the process
     * @param extraReservedDescriptors how many more descriptors to reserve than {@link #RESERVED_DESCRIPTORS}
     * @param turnNumber the number of the event loop's turn, which grows with each poll
     */
    public SocketBudget(int descriptorLimit, int extraReservedDescriptors, LongSupplier turnNumber) {
        maxSockets = Math.max(MIN_SOCKETS, descriptorLimit - RESERVED_DESCRIPTORS - extraReservedDescriptors);
        this.turnNumber = turnNumber;
    }

    /** Sets what is called when a socket has been closed. */
    public void setCloseListener(Runnable listener) {
        onClosed = listener;
    }

    /** Adds a connection to a server. */
    public void serverOpened() {
        openSockets++;
    }

    /** Removes a connection to a server. Must be called once for each {@link #serverOpened}. */
    public void serverClosed() {
        settle();
        closingSockets++;
        onClosed.run();
    }

    /** Adds a connection of a client. */
    public void clientOpened() {
        openSockets++;
        openClientSockets++;
    }

    /** Removes a connection of a client. Must be called once for each {@link #clientOpened}. */
    public void clientClosed() {
        settle();
        closingSockets++;
        closingClientSockets++;
        onClosed.run();
    }

    /** Frees the descriptors of the sockets that were closed before the last poll. */
    private void settle() {
        long turn = turnNumber.getAsLong();
        if (turn != closedInTurn) {
            openSockets -= closingSockets;
            openClientSockets -= closingClientSockets;
            closingSockets = 0;
            closingClientSockets = 0;
            closedInTurn = turn;
        }
    }

    /** Returns whether descriptors of closed sockets become free at the next poll. */
    public boolean isClosing() {
        settle();
        return closingSockets > 0;
    }

    /** Returns whether one more connection to a server may be opened. */
    public boolean hasRoomForServer() {
        settle();
        return openSockets < maxSockets;
    }

    /** Returns whether one more client may connect: within the share of clients, and below the limit of all sockets. */
    public boolean hasRoomForClient() {
        settle();
        return openSockets + 1 < maxSockets && isWithinClientShare();
    }

    /** Returns whether one more client would be within the share of clients. */
    public boolean isWithinClientShare() {
        settle();
        return openClientSockets + 1 < MAX_CLIENT_SHARE * maxSockets;
    }
}
