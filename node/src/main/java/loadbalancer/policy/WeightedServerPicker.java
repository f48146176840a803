package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * The choice between two random servers: two draws by weight, and the server with fewer of this node's own requests
 * in flight wins, ties at random. Draws of a request with a key are fixed by the key instead.
 *
 * <p>Single-threaded; no I/O; allocates nothing.
 */
final class WeightedServerPicker {
    /** How often a draw that met a server which may not be sent to is repeated; a search of all would be costly. */
    private static final int MAX_REDRAWS = 15;

    private final ServerWeights weights;
    private final KeyAffinityPicker keyAffinityPicker;
    private final ServerEligibility eligibility;
    private final SplittableRandom random;

    WeightedServerPicker(
            ServerWeights weights,
            KeyAffinityPicker keyAffinityPicker,
            ServerEligibility eligibility,
            SplittableRandom random) {
        this.weights = weights;
        this.keyAffinityPicker = keyAffinityPicker;
        this.eligibility = eligibility;
        this.random = random;
    }

    /** A server for the request, or null if the draws found none that it may be sent to. */
    ServerRecord pick(PendingRequest request, WeightedServers from, long nowUs) {
        weights.refreshIfStale();
        ServerRecord first = draw(request, from, null, nowUs);
        if (first == null) {
            return null;
        }
        ServerRecord second = draw(request, from, first, nowUs);
        if (second == null) {
            return first;
        }
        if (first.inFlight != second.inFlight) {
            return first.inFlight < second.inFlight ? first : second;
        }
        // The first draw prefers the heavier server: without a toss of its own, ties would too. A key's first draw
        // is the server that knows the key.
        return request.hasKey() || random.nextInt(2) == 0 ? first : second;
    }

    private ServerRecord draw(PendingRequest request, WeightedServers from, ServerRecord excluded, long nowUs) {
        if (request.hasKey()) {
            return keyAffinityPicker.pick(request, from, excluded, nowUs);
        }
        for (int i = 0; i <= MAX_REDRAWS && from.servers.length > 0; i++) {
            ServerRecord server = from.servers[drawPosition(from)];
            if (server != excluded && eligibility.maySend(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    private int drawPosition(WeightedServers from) {
        int last = from.servers.length - 1;
        if (weights.areAllEqual()) {
            return random.nextInt(last + 1);
        }
        int found = Arrays.binarySearch(from.cumulativeWeights, random.nextLong(from.cumulativeWeights[last]));
        return found < 0 ? -1 - found : found + 1;
    }
}
