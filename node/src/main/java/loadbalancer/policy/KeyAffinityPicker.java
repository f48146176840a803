package loadbalancer.policy;

/**
 * Draws of servers that are fixed by a request's key, as in rendezvous hashing. Acts where servers remember keys: all
 * nodes draw the same servers for a key, in the same order, and a server that gains errors loses keys to those drawn
 * next, while the other keys stay where they are known.
 *
 * <p>When no drawn server may be sent to, the request waits: at any other server it would cost the work that the
 * memory saves, and an overload would feed itself. Harm: a few hot keys may wait while other servers have room.
 *
 * <p>Single-threaded; no I/O; allocates nothing per draw.
 */
final class KeyAffinityPicker {
    /** Seed of a request without a key. */
    static final long NO_KEY = 0;

    /** Draws for one choice; some are turned down by weight, and a burst has to spread over several servers. */
    private static final int MAX_DRAWS = 8;
    /** Least places in the table for each server. It grows only as the fleet doubles, as all keys move then. */
    private static final int MIN_PLACES_PER_SERVER = 16;
    /** Increment of SplitMix64: tells the draws of one key apart. */
    private static final long DRAW_INCREMENT = 0x9E3779B97F4A7C15L;

    private static final long LOW_32_BITS = 0xFFFFFFFFL;
    private static final double TWO_TO_32 = 0x1p32;

    private final ServerWeights weights;
    private final ServerEligibility eligibility;

    KeyAffinityPicker(ServerWeights weights, ServerEligibility eligibility) {
        this.weights = weights;
        this.eligibility = eligibility;
    }

    /** What fixes the draws for a key; {@link #NO_KEY} if it is null, else never that. */
    static long seedOf(String key) {
        return key == null ? NO_KEY : mix(key.hashCode()) | 1;
    }

    /** The table of places that draws by key use. */
    static ServerRecord[] placesOf(ServerRecord[] servers) {
        return servers.length == 0
                ? servers
                : MaglevTable.build(servers, MIN_PLACES_PER_SERVER * Integer.highestOneBit(servers.length), 1);
    }

    /** The first server drawn that the request may be sent to, other than {@code excluded}; null if there is none. */
    ServerRecord pick(PendingRequest request, WeightedServers from, ServerRecord excluded, long nowUs) {
        for (int i = 0; i < MAX_DRAWS && from.keyPlaces.length > 0; i++) {
            ServerRecord server = draw(request, from, i);
            if (server != null && server != excluded && eligibility.maySend(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    /** The same for a retry, other than the servers that the request was sent to. */
    ServerRecord pickUntried(PendingRequest request, WeightedServers from, long nowUs) {
        for (int i = 0; i < MAX_DRAWS && from.keyPlaces.length > 0; i++) {
            ServerRecord server = draw(request, from, i);
            if (server != null && !request.wasSentTo(server) && eligibility.maySend(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    /** The key's draw of this number: high bits name a place, low bits turn it down in proportion to the weight. */
    private ServerRecord draw(PendingRequest request, WeightedServers from, int number) {
        long hash = mix(request.keySeed + number * DRAW_INCREMENT);
        ServerRecord server = from.keyPlaces[(int) ((hash >>> 32) % from.keyPlaces.length)];
        boolean drawn = (hash & LOW_32_BITS) * weights.highest() < weights.weight(server) * TWO_TO_32;
        return drawn ? server : null;
    }

    /** The finalizer of SplitMix64: each bit of the result depends on each bit of the input. */
    private static long mix(long input) {
        long z = (input ^ input >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
