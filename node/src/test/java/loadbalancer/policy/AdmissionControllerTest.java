package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Load shedding, the on-time ratio and the relative values of requests that it depends on. */
class AdmissionControllerTest {
    private final RuleFixture fixture = new RuleFixture(2);

    /** Share of 2,000 arrivals that is shed. */
    private double shedShare(double value) {
        PendingRequest request = fixture.request(FakeNode.IDEMPOTENT);
        request.value = value;
        int shed = 0;
        for (int i = 0; i < 2_000; i++) {
            shed += fixture.rules.admissionController.shouldShed(request) ? 1 : 0;
        }
        return shed / 2_000.0;
    }

    private void recordResponses(int count, boolean onTime) {
        for (int i = 0; i < count; i++) {
            fixture.rules.onTimeRatio.record(onTime);
        }
    }

    @Test
    void nothingIsShedWhereFewNodesShareAServer() {
        recordResponses(100, false);
        assertEquals(0, shedShare(1));
    }

    @Test
    void allButATwentiethIsShedWhenAllResponsesAreLate() {
        fixture.state.manyNodesPerServer = true;
        recordResponses(100, false);
        assertEquals(0.95, shedShare(1), 0.02);
    }

    @Test
    void lowValueIsShedFirst() {
        fixture.state.manyNodesPerServer = true;
        fixture.learnLatency(FakeNode.KEYED_ALL, 10_000);
        recordResponses(100, true);
        recordResponses(3, false);
        double highest = fixture.rules.priority.valueOf(1, FakeNode.KEYED_ALL);
        double shedOfHighest = shedShare(highest);
        assertTrue(shedShare(highest / 10) > shedOfHighest + 0.2, "share shed at the highest value: " + shedOfHighest);
    }

    @Test
    void relativeValueComparesWithTheHighestValueOfClassesWithResponses() {
        PendingRequest request = fixture.request(FakeNode.IDEMPOTENT);
        request.value = fixture.rules.priority.valueOf(1, FakeNode.IDEMPOTENT);
        assertEquals(1, fixture.rules.priority.relativeValue(request));
        fixture.learnLatency(FakeNode.IDEMPOTENT, 40_000);
        fixture.learnLatency(FakeNode.KEYED_ALL, 10_000);
        request.value = fixture.rules.priority.valueOf(1, FakeNode.IDEMPOTENT);
        assertEquals(0.25, fixture.rules.priority.relativeValue(request), 1e-9);
    }
}
