package loadbalancer.discovery;

import java.util.SplittableRandom;

/**
 * The delay before a failed watch is opened again: it doubles with each failure up to a maximum, and is spread at
 * random, so that nodes that lost the discovery service together do not return to it together. No I/O, no clock.
 */
final class ReconnectBackoff {
    private static final long INITIAL_MILLIS = 50;
    private static final long MAX_MILLIS = 1_000;
    /** The maximum grows with the nodes: up to 30 of them together connect ten times a second. */
    private static final long MAX_MILLIS_PER_NODE = 100;
    /** A node must follow each change within 6 s; half of that is left to connect and to be answered. */
    private static final long MAX_MILLIS_OF_MANY_NODES = 3_000;

    private final SplittableRandom random;
    private final long maxMillis;
    private long nextMillis = INITIAL_MILLIS;

    ReconnectBackoff(int nodes, long seed) {
        random = new SplittableRandom(seed);
        maxMillis = maxMillis(nodes);
    }

    /** Returns the delay after one more failure. */
    long nextDelayMillis() {
        long delayMillis = jittered(nextMillis, random.nextDouble());
        nextMillis = Math.min(maxMillis, 2 * nextMillis);
        return delayMillis;
    }

    /** A watch works again: the next failure is a first one. */
    void reset() {
        nextMillis = INITIAL_MILLIS;
    }

    /**
     * A random delay between half of the given one and all of it.
     *
     * @param uniform a random number from 0 to 1
     */
    static long jittered(long delayMillis, double uniform) {
        return (long) (delayMillis * (0.5 + uniform / 2));
    }

    static long maxMillis(int nodes) {
        return Math.min(MAX_MILLIS_OF_MANY_NODES, Math.max(MAX_MILLIS, nodes * MAX_MILLIS_PER_NODE));
    }
}
