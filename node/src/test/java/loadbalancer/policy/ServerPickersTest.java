package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The pickers for first attempts, by weight and by key, and the picker for retries. */
class ServerPickersTest {
    private static final long NOW_US = RuleFixture.START_US;

    private static ServerRecord first(RuleFixture fixture, PendingRequest request) {
        return fixture.rules.firstAttemptPicker.pick(request, NOW_US);
    }

    @Test
    void serverWithFewerRequestsInFlightIsPicked() {
        RuleFixture fixture = new RuleFixture(2);
        fixture.sent(FakeNode.IDEMPOTENT, fixture.state.servers[0], NOW_US);
        for (int i = 0; i < 50; i++) {
            assertSame(fixture.state.servers[1], first(fixture, fixture.request(FakeNode.IDEMPOTENT)));
        }
    }

    @Test
    void serversAreDrawnByWeightAndTiesAreBrokenAtRandom() {
        RuleFixture fixture = new RuleFixture(3);
        ServerRecord failing = fixture.state.servers[0];
        for (int i = 0; i < 3; i++) {
            fixture.rules.errorCounter.onFailure(failing);
        }
        int hits = 0;
        for (int i = 0; i < 6_000; i++) {
            hits += first(fixture, fixture.request(FakeNode.IDEMPOTENT)) == failing ? 1 : 0;
        }
        // Weights are 2, 8 and 8: drawn first with 2/18, or second with 2/10, and then picked with probability 1/2.
        assertEquals(6_000 * (1.0 / 9 + 8.0 / 9 / 5) / 2, hits, 100);
    }

    @Test
    void nothingIsPickedWhenAllServersAreAtTheirLimits() {
        RuleFixture fixture = new RuleFixture(2);
        for (ServerRecord server : fixture.state.servers) {
            server.inFlight = 4;
        }
        assertNull(first(fixture, fixture.request(FakeNode.IDEMPOTENT)));
    }

    @Test
    void keyIsServedByTheSameServerAtEveryNode() {
        for (int i = 0; i < 50; i++) {
            RuleFixture one = new RuleFixture(10, settings -> settings.keyAffinity = true);
            RuleFixture other = new RuleFixture(10, settings -> settings.keyAffinity = true);
            first(other, other.request(FakeNode.IDEMPOTENT, "another key"));
            String key = "key" + i;
            assertEquals(
                    first(one, one.request(FakeNode.IDEMPOTENT, key)).id,
                    first(other, other.request(FakeNode.IDEMPOTENT, key)).id);
        }
    }

    @Test
    void otherZonesAreUsedOnceTheLocalServerHasTwoMoreInFlight() {
        RuleFixture fixture = new RuleFixture(2, settings -> settings.crossZoneCost = 0.02);
        ServerRecord local = fixture.state.servers[0];
        ServerRecord remote = fixture.state.servers[1];
        remote.zone = 1;
        fixture.choose(local, remote);
        local.inFlight = 1;
        assertSame(local, first(fixture, fixture.request(FakeNode.IDEMPOTENT)));
        local.inFlight = 2;
        int remotes = 0;
        for (int i = 0; i < 100; i++) {
            remotes += first(fixture, fixture.request(FakeNode.IDEMPOTENT)) == remote ? 1 : 0;
        }
        assertTrue(remotes > 90, remotes + " of 100");
    }

    @Test
    void retryGoesToTheNextServerInListOrderThatWasNotTried() {
        RuleFixture fixture = new RuleFixture(4);
        ServerRecord[] servers = fixture.state.servers;
        PendingRequest request = fixture.sent(FakeNode.IDEMPOTENT, servers[2], NOW_US);
        assertSame(servers[3], fixture.rules.retryPicker.pick(request, servers[2], NOW_US));
        request.addAttempt(servers[3], NOW_US);
        assertSame(servers[0], fixture.rules.retryPicker.pick(request, servers[3], NOW_US));
        servers[0].state = ServerState.DRAINING;
        assertSame(servers[1], fixture.rules.retryPicker.pick(request, servers[3], NOW_US));
        servers[1].health.ejected = true;
        assertNull(fixture.rules.retryPicker.pick(request, servers[3], NOW_US));
    }

    @Test
    void retryOfAKeyThatHasNotRunGoesToItsNextServer() {
        RuleFixture fixture = new RuleFixture(10, settings -> settings.keyAffinity = true);
        PendingRequest request = fixture.request(FakeNode.IDEMPOTENT, "key");
        ServerRecord server = first(fixture, request);
        request.addAttempt(server, NOW_US);
        request.recordResult(0, AttemptResult.FULL);
        ServerRecord next = fixture.rules.retryPicker.pick(request, server, NOW_US);
        assertNotSame(server, next);
        PendingRequest again = fixture.request(FakeNode.IDEMPOTENT, "key");
        server.inFlight = 64;
        assertSame(next, first(fixture, again));
    }
}
