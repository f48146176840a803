package loadbalancer.harness.time;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * Makes one stream of random numbers per actor. A stream depends on the seed and the actor's name, not on the order of
 * creation, so that an additional actor does not change the numbers that the others draw.
 */
public final class RandomStreams {
    /** Offset basis of 64-bit FNV-1a. */
    private static final long FNV_START = 0xCBF29CE484222325L;

    /** Prime of 64-bit FNV-1a. */
    private static final long FNV_PRIME = 0x100000001B3L;

    private RandomStreams() {}

    /** Returns a new stream for an actor, from its start. */
    public static SplittableRandom stream(long seed, String actor) {
        long hash = FNV_START;
        for (byte b : actor.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xFF) * FNV_PRIME;
        }
        // Two rounds, because similar names or seeds must not give similar streams.
        return new SplittableRandom(new SplittableRandom(seed ^ hash).nextLong() + seed);
    }
}
