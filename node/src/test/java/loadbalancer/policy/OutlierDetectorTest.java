package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.OutlierDetector.Recovery;
import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    private final RuleFixture fixture = new RuleFixture(4);
    private final OutlierDetector detector = fixture.rules.outlierDetector;
    private final ServerRecord server = fixture.state.servers[0];
    private long now = RuleFixture.START_US;

    private void fail(ServerRecord failing, int classIndex, int times) {
        for (int i = 0; i < times; i++) {
            detector.onFailure(failing, failing.classHealth.get(classIndex), true, ++now);
        }
    }

    private Recovery succeed(int classIndex) {
        return detector.onSuccess(server, server.classHealth.get(classIndex), ++now);
    }

    @Test
    void fourFailuresAmongTheLastSixteenOutcomesEjectAServer() {
        fail(server, 0, 3);
        assertFalse(server.health.ejected);
        for (int i = 0; i < 12; i++) {
            succeed(0);
        }
        fail(server, 0, 1);
        assertTrue(server.health.ejected);
        assertEquals(List.of(server), detector.ejectedServers());
        assertEquals(List.of("ejected s0 4 null", "ejected s0 4 safe"), fixture.actions.calls);
    }

    @Test
    void failuresCausedByLoadDoNotEject() {
        for (int i = 0; i < 20; i++) {
            detector.onFailure(server, server.classHealth.get(0), false, ++now);
        }
        assertFalse(server.health.ejected);
    }

    @Test
    void serverThatFailsOneClassIsEjectedForThatClassOnly() {
        fail(server, 0, 3);
        for (int i = 0; i < 16; i++) {
            succeed(1);
        }
        fail(server, 0, 4);
        assertFalse(server.health.ejected);
        assertTrue(server.classHealth.get(0).ejected);
    }

    @Test
    void atMostHalfOfTheServersAreEjected() {
        for (ServerRecord failing : fixture.state.servers) {
            fail(failing, 0, 10);
        }
        assertEquals(2, detector.ejectedServers().size());
    }

    @Test
    void trialIntervalDoublesWithEachFailureUpToFourSeconds() {
        fail(server, 0, 4);
        long trialIntervalUs = 250_000;
        for (int i = 0; i < 7; i++) {
            assertEquals(trialIntervalUs, server.health.trialIntervalUs);
            long untilTrialUs = server.health.trialAtUs - now;
            assertTrue(
                    untilTrialUs >= trialIntervalUs / 2 && untilTrialUs < trialIntervalUs * 3 / 2,
                    "time until the trial request in us: " + untilTrialUs);
            fail(server, 0, 1);
            trialIntervalUs = Math.min(2 * trialIntervalUs, 4_000_000);
        }
    }

    @Test
    void threeSuccessesInARowEndTheEjection() {
        fail(server, 0, 4);
        assertEquals(Recovery.NONE, succeed(0));
        assertEquals(Recovery.NONE, succeed(0));
        fail(server, 0, 1);
        assertEquals(Recovery.NONE, succeed(0));
        assertEquals(Recovery.NONE, succeed(0));
        assertEquals(Recovery.SERVER, succeed(0));
        detector.refresh();
        assertEquals(List.of(), detector.ejectedServers());
        assertEquals("restored s0 null", fixture.actions.calls.get(2));
    }
}
