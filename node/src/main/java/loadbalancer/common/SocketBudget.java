package loadbalancer.common;

/**
 * Counts the open sockets of a node against the process's limit of file descriptors.
 *
 * <p>Guards against a flood of clients that takes every descriptor: connections to servers would then fail, and no
 * request could be served, however many clients are connected. Clients may hold only a share of the descriptors.
 *
 * <p>Not thread-safe: used on the node's event loop only.
 */
public final class SocketBudget {
    /** Descriptors for the JVM, the jar, the listening socket and the watch on discovery, with some to spare. */
    private static final int RESERVED_DESCRIPTORS = 48;
    /** What is left to clients and servers however low the process's limit is. */
    private static final int MIN_SOCKETS = 8;
    /** The share that clients may hold: a request that is being served needs a connection to a server too. */
    private static final double MAX_CLIENT_SHARE = 0.6;

    private final int maxSockets;
    private int openSockets;
    private int openClientSockets;

    /**
     * @param descriptorLimit how many descriptors the process may hold
     * @param otherDescriptors how many of these are set aside, beside those that always are
     */
    public SocketBudget(int descriptorLimit, int otherDescriptors) {
        maxSockets = Math.max(MIN_SOCKETS, descriptorLimit - RESERVED_DESCRIPTORS - otherDescriptors);
    }

    /** Counts a connection to a server. */
    public void serverOpened() {
        openSockets++;
    }

    /** Gives back what {@link #serverOpened} counted; once for each connection. */
    public void serverClosed() {
        openSockets--;
    }

    /** Counts a connection of a client. */
    public void clientOpened() {
        openSockets++;
        openClientSockets++;
    }

    /** Gives back what {@link #clientOpened} counted; once for each connection. */
    public void clientClosed() {
        openSockets--;
        openClientSockets--;
    }

    /** Whether one more connection to a server may be opened. */
    public boolean hasRoomForServer() {
        return openSockets < maxSockets;
    }

    /** Whether the connections that clients have opened by now are within their share. */
    public boolean hasRoomForClient() {
        return openSockets < maxSockets && openClientSockets < MAX_CLIENT_SHARE * maxSockets;
    }
}
