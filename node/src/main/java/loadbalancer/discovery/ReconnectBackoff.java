package loadbalancer.discovery;

import java.util.SplittableRandom;

/**
 * Computes the delay before a failed watch is reopened. The delay doubles with each failure up to a maximum. Random
 * jitter keeps nodes that lost the discovery service at the same time from reconnecting at the same time. Uses no I/O
 * and no clock.
 */
final class ReconnectBackoff {
    private static final long INITIAL_MILLIS = 50;
    /** The maximum delay with up to 10 nodes. */
    private static final long MAX_MILLIS_FEW_NODES = 1_000;
    /**
     * The maximum delay per node with 10 to 30 nodes. Up to 30 nodes whose delays have reached the maximum together
     * make at most ten attempts a second, before jitter.
     */
    private static final long MAX_MILLIS_PER_NODE = 100;
    /**
     * The maximum delay with 30 nodes or more. A node must follow each change within 6 s; half of that is left to
     * connect and to receive the first message.
     */
    private static final long MAX_MILLIS_MANY_NODES = 3_000;

    private final SplittableRandom random;
    private final long maxMillis;
    private long nextMillis = INITIAL_MILLIS;

    ReconnectBackoff(int nodes, long seed) {
        random = new SplittableRandom(seed);
        maxMillis = maxMillis(nodes);
    }

    /** Returns the delay after a failure, and doubles the next delay up to the maximum. */
    long nextDelayMillis() {
        long delayMillis = jittered(nextMillis, random.nextDouble());
        nextMillis = Math.min(maxMillis, 2 * nextMillis);
        return delayMillis;
    }

    /** Resets the delay to its initial value; called when a watch works again. */
    void reset() {
        nextMillis = INITIAL_MILLIS;
    }

    /**
     * Returns a random delay between half of the given delay and all of it.
     *
     * @param uniform a random number from 0 (inclusive) to 1 (exclusive)
     */
    static long jittered(long delayMillis, double uniform) {
        return (long) (delayMillis * (0.5 + uniform / 2));
    }

    static long maxMillis(int nodes) {
        return Math.min(MAX_MILLIS_MANY_NODES, Math.max(MAX_MILLIS_FEW_NODES, nodes * MAX_MILLIS_PER_NODE));
    }
}
