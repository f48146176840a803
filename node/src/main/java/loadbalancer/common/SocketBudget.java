package loadbalancer.common;

/**
 * Counts the open sockets of a node against the file descriptor limit of the process.
 *
 * <p>Clients may use only a share of the descriptors. If many clients could take all of them, connections to servers
 * would fail, and no request could be served.
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
    private int openSockets;
    private int openClientSockets;

    /**
     * Creates a budget with no sockets open.
     *
     * @param descriptorLimit the file descriptor limit of the process
     * @param extraReservedDescriptors how many more descriptors to reserve than {@link #RESERVED_DESCRIPTORS}
     */
    public SocketBudget(int descriptorLimit, int extraReservedDescriptors) {
        maxSockets = Math.max(MIN_SOCKETS, descriptorLimit - RESERVED_DESCRIPTORS - extraReservedDescriptors);
    }

    /** Adds a connection to a server. */
    public void serverOpened() {
        openSockets++;
    }

    /** Removes a connection to a server. Must be called once for each {@link #serverOpened}. */
    public void serverClosed() {
        openSockets--;
    }

    /** Adds a connection of a client. */
    public void clientOpened() {
        openSockets++;
        openClientSockets++;
    }

    /** Removes a connection of a client. Must be called once for each {@link #clientOpened}. */
    public void clientClosed() {
        openSockets--;
        openClientSockets--;
    }

    /** Returns whether one more connection to a server may be opened. */
    public boolean hasRoomForServer() {
        return openSockets < maxSockets;
    }

    /**
     * Returns whether the client connections are within their share, and all connections below the limit. The new
     * connection must already be added.
     */
    public boolean hasRoomForClient() {
        return openSockets < maxSockets && openClientSockets < MAX_CLIENT_SHARE * maxSockets;
    }
}
