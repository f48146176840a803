package loadbalancer.policy;

/**
 * Draws servers by a hash of the request's key, as in rendezvous hashing. Used where servers cache keys: nodes that use
 * the same servers draw the same ones for a key, in the same order, apart from draws that they reject because of their
 * own error counts. A server with errors loses some keys to the servers drawn next, while all other keys stay on the
 * servers that have cached them.
 *
 * <p>If none of the drawn servers may be sent to, the request waits. On any other server it would cost the work that
 * caching saves, and an overload would reinforce itself.
 *
 * <p>Trade-off: requests for a few hot keys may wait while other servers have spare capacity.
 *
 * <p>Allocates nothing per draw.
 */
final class KeyAffinityPicker {
    /** Seed of a request without a key. */
    static final long NO_KEY = 0;

    /** Draws per choice. Some are rejected by weight, and a burst of one key must spread over several servers. */
    private static final int MAX_DRAWS = 8;
    /**
     * Entries of the table per server if the number of servers is a power of two. Between two powers of two the table
     * keeps its length, and the entries per server fall to just over half of this. A change of the length would move
     * all keys, so it happens only at powers of two.
     */
    private static final int ENTRIES_PER_SERVER = 16;
    /** Increment of SplitMix64, which gives each draw of a key a different hash. */
    private static final long DRAW_INCREMENT = 0x9E3779B97F4A7C15L;

    private static final long LOW_32_BITS = 0xFFFFFFFFL;
    private static final double TWO_TO_32 = 0x1p32;

    private final ServerWeights weights;
    private final ServerEligibility eligibility;

    KeyAffinityPicker(ServerWeights weights, ServerEligibility eligibility) {
        this.weights = weights;
        this.eligibility = eligibility;
    }

    /** Returns the seed of the draws for a key: {@link #NO_KEY} if the key is null, never that otherwise. */
    static long seedOf(String key) {
        return key == null ? NO_KEY : mix(key.hashCode()) | 1;
    }

    /** Builds the table from which servers are drawn by key. */
    static ServerRecord[] buildTable(ServerRecord[] servers) {
        return servers.length == 0
                ? servers
                : MaglevTable.build(servers, ENTRIES_PER_SERVER * Integer.highestOneBit(servers.length), 1);
    }

    /**
     * Returns the first drawn server that the request may be sent to, other than {@code excluded}; null if there is
     * none.
     */
    ServerRecord pick(PendingRequest request, WeightedServers candidates, ServerRecord excluded, long nowUs) {
        for (int i = 0; i < MAX_DRAWS && candidates.keyTable.length > 0; i++) {
            ServerRecord server = draw(request, candidates, i);
            if (server != null && server != excluded && eligibility.maySend(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    /** As {@link #pick} for a retry: skips all servers that the request was sent to. */
    ServerRecord pickUntried(PendingRequest request, WeightedServers candidates, long nowUs) {
        for (int i = 0; i < MAX_DRAWS && candidates.keyTable.length > 0; i++) {
            ServerRecord server = draw(request, candidates, i);
            if (server != null && !request.wasSentTo(server) && eligibility.maySend(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    /**
     * Returns the key's draw with this number, or null if it is rejected. The high bits select a table entry; the low
     * bits accept it with a probability proportional to the server's weight.
     */
    private ServerRecord draw(PendingRequest request, WeightedServers candidates, int number) {
        long hash = mix(request.keySeed + number * DRAW_INCREMENT);
        ServerRecord server = candidates.keyTable[(int) ((hash >>> 32) % candidates.keyTable.length)];
        boolean accepted = (hash & LOW_32_BITS) * weights.highest() < weights.weight(server) * TWO_TO_32;
        return accepted ? server : null;
    }

    /** The finalizer of SplitMix64: each bit of the result depends on each bit of the input. */
    private static long mix(long input) {
        long z = (input ^ input >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }
}
