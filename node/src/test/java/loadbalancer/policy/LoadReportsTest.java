package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LoadReportsTest {
    private final RuleFixture fixture =
            new RuleFixture(4, settings -> settings.reportFields = List.of(LoadReportField.IN_FLIGHT));
    private final LoadReports reports = fixture.rules.loadReports;
    private final ServerRecord[] servers = fixture.state.servers;

    private void report(ServerRecord server, double load, long latencyUs, long nowUs) {
        reports.record(server, new AttemptOutcome(1, 0, AttemptResult.OK, latencyUs, true, LoadReport.of(load)), nowUs);
    }

    @Test
    void serverFarAboveTheMeanIsOverloadedUntilItsReportDecays() {
        for (ServerRecord server : servers) {
            report(server, 2, 10_000, 0);
        }
        report(servers[0], 10, 10_000, 0);
        assertEquals(16, fixture.state.totalReportedLoad);
        assertTrue(reports.isOverloaded(servers[0], 0));
        assertFalse(reports.isOverloaded(servers[1], 0));
        assertFalse(reports.isOverloaded(servers[0], 30_000));
    }

    @Test
    void reportWithoutTheFieldIsIgnored() {
        report(servers[0], Double.NaN, 10_000, 5);
        assertEquals(0, servers[0].reportedAtUs);
        assertEquals(0, fixture.state.totalReportedLoad);
    }

    @Test
    void lateResponseIsPredictedOnlyByAReportReceivedNow() {
        report(servers[0], 40, 410_000, 7);
        assertTrue(reports.predictsLateResponse(servers[0], 7));
        assertFalse(reports.predictsLateResponse(servers[0], 8));
        report(servers[1], 20, 210_000, 9);
        assertFalse(reports.predictsLateResponse(servers[1], 9));
    }
}
