package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Weights, and the error counts that they depend on. */
class ServerWeightsTest {
    private final RuleFixture fixture = new RuleFixture(3);
    private final ServerWeights weights = new ServerWeights(fixture.state);
    private final ErrorCounter errors = fixture.rules.errorCounter;
    private final ServerRecord server = fixture.state.servers[0];

    @Test
    void allWeightsAreEqualWithoutErrors() {
        weights.refreshIfStale();
        assertTrue(weights.areAllEqual());
        assertArrayEquals(new long[] {1, 2, 3}, fixture.state.allServers.cumulativeWeights);
    }

    @Test
    void weightFallsWithTheErrors() {
        for (int i = 0; i < 3; i++) {
            errors.onFailure(server);
        }
        errors.onFailure(fixture.state.servers[1]);
        weights.refreshIfStale();
        // E = floor(4^1.5) = 8: 8/4, 8/2, 8/1.
        assertArrayEquals(new long[] {2, 6, 14}, fixture.state.allServers.cumulativeWeights);
    }

    @Test
    void ejectedServerHasWeightOne() {
        errors.onFailure(server);
        fixture.state.servers[2].health.ejected = true;
        weights.refreshIfStale();
        assertEquals(1, weights.weight(fixture.state.servers[2]));
        assertEquals(2, weights.weight(fixture.state.servers[1]));
    }

    @Test
    void successClearsTheCountWhereFewNodesShareAServer() {
        errors.onFailure(server);
        errors.onFailure(server);
        errors.onSuccess(server, true);
        assertEquals(0, server.errors);
    }

    @Test
    void slowSuccessesCountAsErrorsWhereManyNodesShareAServer() {
        fixture.state.manyNodesPerServer = true;
        for (int i = 0; i < 20; i++) {
            errors.onSuccess(server, true);
        }
        assertEquals(8, server.errors);
        errors.onSuccess(server, false);
        assertEquals(7, server.errors);
    }
}
