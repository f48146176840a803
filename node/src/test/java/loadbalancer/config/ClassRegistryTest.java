package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;
import org.junit.jupiter.api.Test;

/** Request classes and tenants across reloads of the configuration. */
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
    void longestDeadlineIgnoresRemovedAndChangedClasses() {
        RequestClass page = requestClass("page", 1_000_000);
        ClassRegistry initial = ClassRegistry.initial(settings(page, requestClass("report", 2_500_000)));
        assertEquals(2_500_000, initial.longestDeadlineUs());
        assertEquals(1_000_000, initial.reloaded(settings(page)).longestDeadlineUs());
        assertEquals(
                400_000,
                initial.reloaded(settings(requestClass("page", 400_000))).longestDeadlineUs());
    }

    /**
     * An open request holds the index of its class during a reload. If the index were given to another class, the
     * request would be retried under the rules of that class.
     */
    @Test
    void changedClassGetsANewIndexAndTheOldOneIsAcceptedUntilItIsRetired() {
        RequestClass slow = requestClass("page", 1_000_000);
        RequestClass fast = requestClass("page", 400_000);
        ClassRegistry reloaded = ClassRegistry.initial(settings(slow)).reloaded(settings(fast));
        assertEquals(List.of(slow, fast), reloaded.classes());
        assertEquals(0, reloaded.settings().classes.get(0).priorityWeight(), "no longer configured");
        assertEquals(1, reloaded.settings().classes.get(1).priorityWeight());
        assertEquals(List.of(1, 0), List.copyOf(reloaded.acceptedIndices().get("page")));
        assertEquals(1_000_000, reloaded.retirementDelayUs());
        ClassRegistry retired = reloaded.withoutRetiredClasses();
        assertEquals(Set.of(1), retired.acceptedIndices().get("page"));
        assertEquals(0, retired.retirementDelayUs());
        assertEquals(List.of(slow, fast), retired.classes(), "open requests still refer to them");
    }

    @Test
    void tenantKeepsItsIndex() {
        BalancerSettings before = settings();
        before.tenants.addAll(List.of(new Tenant("a"), new Tenant("b")));
        BalancerSettings after = settings();
        after.tenants.addAll(List.of(new Tenant("c"), new Tenant("b")));
        ClassRegistry reloaded = ClassRegistry.initial(before).reloaded(after);
        assertEquals(0, reloaded.tenantIndices().get("a"));
        assertEquals(1, reloaded.tenantIndices().get("b"));
        assertEquals(2, reloaded.tenantIndices().get("c"));
        assertEquals(List.of(new Tenant("a"), new Tenant("b"), new Tenant("c")), reloaded.settings().tenants);
    }
}
