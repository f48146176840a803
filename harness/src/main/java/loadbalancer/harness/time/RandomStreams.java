package loadbalancer.harness.time;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * One stream of random numbers per actor, split from the seed by the actor's name and not by the order of
 * creation, so that one more actor does not shift what the others draw.
 */
public final class RandomStreams {
    private static final long FNV_START = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    private RandomStreams() {}

    /** The stream of an actor. */
    public static SplittableRandom stream(long seed, String actor) {
        long hash = FNV_START;
        for (byte b : actor.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xFF) * FNV_PRIME;
        }
        // Two rounds, as names and seeds that lie close together must not give streams that do.
        return new SplittableRandom(new SplittableRandom(seed ^ hash).nextLong() + seed);
    }
}
