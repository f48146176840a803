package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The number of open requests is bounded, as clients have no connections for more. */
class OpenRequestLimitTest {

    @Test
    void requestOfLowestValueIsRejectedAtTheLimitAndAttemptsInFlightContinue() {
        BalancerSettings settings = FakeNode.settings();
        settings.classes.add(new RequestClass(
                "dear", 200_000, 0, 1_000_000, 9, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        settings.maxOpen = 20;
        FakeNode node = new FakeNode(settings, 7).withServers(1);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            ids.add(node.request(FakeNode.NON_IDEMPOTENT));
        }
        assertEquals(10, node.rejected.size(), "rejected above the maximum of open requests");
        assertEquals(ids.subList(20, 30), node.rejected, "of equal value the latest are rejected");
        long valuable = node.request(settings.classes.size() - 1);
        assertEquals(11, node.rejected.size());
        assertEquals(ids.get(19), node.rejected.get(10), "the latest request of low value is rejected instead");
        node.endAttempt(ids.get(0), AttemptResult.OK, 1_000);
        assertEquals(1, node.attempts(valuable), "the request of high value is sent first");
    }
}
