package loadbalancer.client;

/**
 * The memory that all client connections together may use for input that is read ahead.
 *
 * <p>Each connection may hold up to as much as is still free. The more connections read ahead, the less each of them
 * gets, and some of the budget always remains for the next one. All methods are called on the event loop.
 */
final class ReadAheadBudget {
    /** The share of the heap that may be used: one part in this many. */
    private static final int HEAP_FRACTION = 8;

    private final long maxBytes;
    private long heldBytes;

    ReadAheadBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates a budget for the heap that this process was started with. */
    static ReadAheadBudget ofHeap() {
        return new ReadAheadBudget(Runtime.getRuntime().maxMemory() / HEAP_FRACTION);
    }

    /** Returns whether a connection that holds this many bytes may hold this many more. */
    boolean allows(long heldByConnection, int moreBytes) {
        return heldByConnection + moreBytes <= maxBytes - heldBytes - moreBytes;
    }

    void acquire(int bytes) {
        heldBytes += bytes;
    }

    void release(int bytes) {
        heldBytes -= bytes;
    }

    /** Returns the number of bytes that all connections hold. */
    long heldBytes() {
        return heldBytes;
    }
}
