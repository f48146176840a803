package loadbalancer.policy;

/** Draws of servers that are fixed by a request's key. */
final class KeyAffinityPicker {
    /** Seed of a request without a key. */
    static final long NO_KEY = 0;

    private KeyAffinityPicker() {}

    /** What fixes the draws for a key; {@link #NO_KEY} if it is null, else never that. */
    static long seedOf(String key) {
        return key == null ? NO_KEY : mix(key.hashCode()) | 1;
    }

    /** The finalizer of SplitMix64: each bit of the result depends on each bit of the input. */
    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
