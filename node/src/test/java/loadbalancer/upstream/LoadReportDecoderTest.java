package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReportField;
import loadbalancer.process.FakeServer;
import loadbalancer.process.Http;
import loadbalancer.process.NodeHarness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportDecoderTest {
    private static final List<LoadReportField> FIELDS = List.of(LoadReportField.QUEUED, LoadReportField.IN_FLIGHT);

    @Test
    void returnsValuesInOrderOfSettings() {
        assertArrayEquals(
                new double[] {2, 7.5},
                LoadReportDecoder.decode("TEXT concurrent=7.5, depth=2", FIELDS).values());
        assertArrayEquals(
                new double[] {2, 7},
                LoadReportDecoder.decode("TEXT inflight=7, queue=2, util=0.61, new=1", FIELDS)
                        .values());
        assertArrayEquals(
                new double[] {Double.NaN, 7},
                LoadReportDecoder.decode("TEXT concurrent=7", FIELDS).values());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "TEXT", "TEXT ", "JSON {}", "TEXT concurrent", "TEXT depth=", "TEXT depth=x"})
    void returnsNullForMalformedReport(String text) {
        assertNull(LoadReportDecoder.decode(text, FIELDS));
    }

    @Test
    void returnsNullWithoutFieldsOrReport() {
        assertNull(LoadReportDecoder.decode("TEXT concurrent=7", List.of()));
        assertNull(LoadReportDecoder.decode(null, FIELDS));
    }

    /**
     * A response with a malformed load report must still be forwarded, and its outcome is reported without a load
     * report.
     */
    @Test
    void balancerReceivesReportWithOutcome() throws Exception {
        BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
        String[] reports = {"TEXT depth=1, concurrent=9", "TEXT depth=?"};
        try (FakeServer server = new FakeServer((request, peer) -> peer.write(Http.response(
                        "200 OK", "X-Pressure: " + reports["/api/a".equals(request.path()) ? 0 : 1] + "\r\n", "x")));
                NodeHarness harness = NodeHarness.withSilentDiscovery()) {
            harness.settings.reportFields.addAll(FIELDS);
            harness.observeOutcomes(outcomes::add);
            harness.start(server);
            assertEquals(
                    "x",
                    harness.exchange(Http.pageRequest("/api/a", "t", "4000m")).body());
            assertArrayEquals(
                    new double[] {1, 9}, FakeServer.awaitNext(outcomes).report().values());
            assertEquals(
                    "x",
                    harness.exchange(Http.pageRequest("/api/b", "u", "4000m")).body());
            assertNull(FakeServer.awaitNext(outcomes).report());
        }
    }
}
