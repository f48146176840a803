package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PendingRequestFactoryTest {
    private static final long NOW_US = 10_000_000;
    private static final long OBJECTIVE_US = 200_000;

    private final BalancerSettings settings = FakeNode.settings();
    private final PendingRequestFactory factory = new PendingRequestFactory();

    private PendingRequest create(long remainingUs, boolean retry, long waitedUs) {
        factory.addClasses(settings.classes);
        return factory.create(
                new BalancerRequest(1, FakeNode.IDEMPOTENT, 0, remainingUs, 0, retry, null, waitedUs),
                settings,
                NOW_US);
    }

    @Test
    void timesCountFromTheArrival() {
        PendingRequest request = create(900_000, false, 50_000);
        assertEquals(NOW_US - 50_000 + OBJECTIVE_US, request.objectiveAtUs);
        assertEquals(NOW_US - 50_000 + 900_000, request.deadlineAtUs);
    }

    @Test
    void retryWithTheRestOfTheDeadlineRevealsTheTimeOfTheFirstAttempt() {
        create(600_000, false, 0);
        assertEquals(NOW_US + OBJECTIVE_US - 150_000, create(850_000, true, 0).objectiveAtUs);
    }

    @Test
    void retryWithAFirstAttemptsRemainingTimeIsTreatedAsNew() {
        create(600_000, false, 0);
        assertEquals(NOW_US + OBJECTIVE_US, create(599_000, true, 0).objectiveAtUs);
    }
}
