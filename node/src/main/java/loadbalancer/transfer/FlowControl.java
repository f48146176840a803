package loadbalancer.transfer;

/**
 * Backpressure on the source of a streamed body. The source is paused while the sink cannot write more, which bounds
 * the memory of each exchange for bodies of any size and peers of any speed.
 *
 * <p>All methods are called on the event loop.
 */
public interface FlowControl {
    /** Stops reading from the source until {@link #resumeReading}. */
    void pauseReading();

    /** Resumes reading from the source. */
    void resumeReading();
}
