package loadbalancer.transfer;

/**
 * Backpressure on the source of a large transfer. The sink pauses the source while it has more than it can pass on, so
 * that what a node holds of each exchange is bounded, however large the exchange and however slow a peer.
 *
 * <p>Called on the event loop only.
 */
public interface FlowControl {
    /** Reads no more from the source until {@link #resumeReading}. */
    void pauseReading();

    /** Reads on from the source. */
    void resumeReading();
}
