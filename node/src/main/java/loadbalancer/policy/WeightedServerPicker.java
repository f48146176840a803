package loadbalancer.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Chooses between two random servers: makes two draws by weight and picks the server with fewer of this node's own
 * requests in flight, at random if equal. For a request with a key the draws are determined by the key, and the first
 * one wins if equal. Allocates nothing.
 */
final class WeightedServerPicker {
    /**
     * How often a draw is repeated if the request may not be sent to the drawn server; a search of all servers would be
     * expensive.
     */
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

    /** Returns a server for the request, or null if it may not be sent to any of those drawn. */
    ServerRecord pick(PendingRequest request, WeightedServers candidates, long nowUs) {
        weights.refreshIfStale();
        ServerRecord first = draw(request, candidates, null, nowUs);
        if (first == null) {
            return null;
        }
        ServerRecord second = draw(request, candidates, first, nowUs);
        if (second == null) {
            return first;
        }
        if (first.inFlight != second.inFlight) {
            return first.inFlight < second.inFlight ? first : second;
        }
        // The first draw prefers the server with the higher weight, so ties need a random choice of their own. The
        // first draw of a key is the server that has most likely cached it.
        return request.hasKey() || random.nextInt(2) == 0 ? first : second;
    }

    private ServerRecord draw(PendingRequest request, WeightedServers candidates, ServerRecord excluded, long nowUs) {
        if (request.hasKey()) {
            return keyAffinityPicker.pick(request, candidates, excluded, nowUs);
        }
        for (int i = 0; i <= MAX_REDRAWS && candidates.servers.length > 0; i++) {
            ServerRecord server = candidates.servers[drawPosition(candidates)];
            if (server != excluded && eligibility.maySend(request, server, nowUs)) {
                return server;
            }
        }
        return null;
    }

    private int drawPosition(WeightedServers candidates) {
        int last = candidates.servers.length - 1;
        if (weights.areAllEqual()) {
            return random.nextInt(last + 1);
        }
        int found =
                Arrays.binarySearch(candidates.cumulativeWeights, random.nextLong(candidates.cumulativeWeights[last]));
        return found < 0 ? -1 - found : found + 1;
    }
}
