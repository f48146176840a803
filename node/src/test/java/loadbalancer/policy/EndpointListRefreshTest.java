package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class EndpointListRefreshTest {
    private final RuleFixture fixture = new RuleFixture(0, settings -> settings.pollsEndpointList = true);
    private final EndpointListRefresh refresh =
            new EndpointListRefresh(fixture.state, new SplittableRandom(1), fixture.actions);

    @Test
    void cachedListIsPolledAtOnceAndAgainAfterHalfTheInterval() {
        refresh.onList(ListKind.CACHED, 0);
        assertEquals(List.of("subscribe"), fixture.actions.calls);
        assertEquals(5_000_000, refresh.nextPollAtUs());
        refresh.onWake(4_999_999);
        refresh.onWake(5_000_000);
        assertEquals(List.of("subscribe", "subscribe"), fixture.actions.calls);
    }

    @Test
    void backoffDoublesWithJitterUpToAQuarterOfTheInterval() {
        long backoffUs = 250_000;
        for (int failures = 0; failures < 8; failures++) {
            refresh.onListFailed(0);
            long delayUs = refresh.nextPollAtUs();
            assertTrue(delayUs >= backoffUs / 2 && delayUs < backoffUs * 3 / 2, delayUs + " of " + backoffUs);
            backoffUs = Math.min(2 * backoffUs, 2_500_000);
        }
    }

    @Test
    void receivedListEndsThePolling() {
        refresh.onListFailed(0);
        refresh.onList(ListKind.FULL, 1);
        assertEquals(Long.MAX_VALUE, refresh.nextPollAtUs());
    }
}
