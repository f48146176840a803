package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import org.junit.jupiter.api.Test;

/** Settings over changes of the file. */
class ClassRegistryTest {
    private static BalancerSettings settings(RequestClass... classes) {
        BalancerSettings settings = new BalancerSettings();
        settings.classes.addAll(List.of(classes));
        return settings;
    }

    private static RequestClass requestClass(String name, long deadlineUs) {
        return new RequestClass(
                name, 100_000, 0, deadlineUs, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
    }

    @Test
    void aClassThatIsDroppedOrHasNewRulesLeavesNoDeadlineBehind() {
        RequestClass page = requestClass("page", 1_000_000);
        ClassRegistry first = ClassRegistry.first(settings(page, requestClass("report", 2_500_000)));
        assertEquals(2_500_000, first.longestDeadlineUs());
        assertEquals(1_000_000, first.then(settings(page)).longestDeadlineUs());
        assertEquals(
                400_000, first.then(settings(requestClass("page", 400_000))).longestDeadlineUs());
    }
}
