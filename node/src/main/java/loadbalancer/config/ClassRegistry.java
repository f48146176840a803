package loadbalancer.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;

/**
 * The request classes and tenants of a node across all reloads of its configuration. Immutable, except for the settings
 * object, which nothing modifies after it has been added to a registry.
 *
 * <p>Open requests refer to their class by index, so an index keeps its meaning across reloads. A class that is
 * reloaded with other rules gets a new index. A class that is no longer configured keeps its index; in the settings,
 * its weights are 0.
 *
 * @param settings the current settings, with every class and tenant configured since the start
 * @param classes every class configured since the start, by index, with the rules that it was configured with
 * @param configuredIndices the index of each class in the current configuration, by class name
 * @param acceptedIndices the indices that a client's request may refer to, by class name: the configured index first,
 *     then those of earlier configurations, since clients retry requests that started under the earlier rules
 * @param tenantIndices the index of each tenant, by name
 */
public record ClassRegistry(
        BalancerSettings settings,
        List<RequestClass> classes,
        Map<String, Integer> configuredIndices,
        Map<String, Set<Integer>> acceptedIndices,
        Map<String, Integer> tenantIndices) {

    /** Returns the registry of a node that starts with the given settings. */
    public static ClassRegistry initial(BalancerSettings settings) {
        ClassRegistry empty = new ClassRegistry(new BalancerSettings(), List.of(), Map.of(), Map.of(), Map.of());
        return empty.with(settings);
    }

    /**
     * Returns the registry after a reload of the configuration. The number of nodes, the node's index, the zones, the
     * node's zone, the fields of load reports, and whether the endpoint list is polled keep their current values: they
     * change only with a restart.
     *
     * @param loaded the settings that were read; modified by this method and owned by the new registry
     */
    public ClassRegistry reloaded(BalancerSettings loaded) {
        loaded.nodes = settings.nodes;
        loaded.nodeIndex = settings.nodeIndex;
        loaded.localZone = settings.localZone;
        loaded.zones.clear();
        loaded.zones.addAll(settings.zones);
        loaded.reportFields.clear();
        loaded.reportFields.addAll(settings.reportFields);
        loaded.pollsEndpointList = settings.pollsEndpointList;
        return with(loaded);
    }

    private ClassRegistry with(BalancerSettings loaded) {
        List<RequestClass> allClasses = new ArrayList<>(classes);
        Map<String, Integer> configured = new HashMap<>();
        for (RequestClass requestClass : loaded.classes) {
            if (!allClasses.contains(requestClass)) {
                allClasses.add(requestClass);
            }
            configured.put(requestClass.name(), allClasses.indexOf(requestClass));
        }
        loaded.classes.clear();
        for (int index = 0; index < allClasses.size(); index++) {
            RequestClass requestClass = allClasses.get(index);
            loaded.classes.add(configured.containsValue(index) ? requestClass : withoutWeight(requestClass));
        }
        Map<String, Set<Integer>> accepted = onlyConfigured(configured);
        acceptedIndices.forEach((name, indices) ->
                accepted.computeIfAbsent(name, n -> new LinkedHashSet<>()).addAll(indices));
        return new ClassRegistry(loaded, allClasses, configured, accepted, mergeTenants(loaded.tenants));
    }

    private static Map<String, Set<Integer>> onlyConfigured(Map<String, Integer> configured) {
        Map<String, Set<Integer>> accepted = new HashMap<>();
        configured.forEach((name, index) -> accepted.put(name, new LinkedHashSet<>(List.of(index))));
        return accepted;
    }

    private static RequestClass withoutWeight(RequestClass requestClass) {
        return new RequestClass(
                requestClass.name(),
                requestClass.latencyObjectiveUs(),
                requestClass.objectiveStretch(),
                requestClass.deadlineUs(),
                0,
                0,
                requestClass.idempotency(),
                requestClass.deduplicationScope(),
                requestClass.deduplicationWindowUs(),
                requestClass.streaming());
    }

    /** Adds the tenants of earlier configurations to the loaded ones, and returns the index of each tenant by name. */
    private Map<String, Integer> mergeTenants(List<Tenant> loaded) {
        List<Tenant> allTenants = new ArrayList<>(settings.tenants);
        Map<String, Integer> indices = new HashMap<>(tenantIndices);
        for (Tenant tenant : loaded) {
            Integer index = indices.putIfAbsent(tenant.name(), allTenants.size());
            if (index == null) {
                allTenants.add(tenant);
            } else {
                allTenants.set(index, tenant);
            }
        }
        loaded.clear();
        loaded.addAll(allTenants);
        return indices;
    }

    /** Returns the longest deadline of a configured class, which is how long the platform lets a process drain. */
    public long longestDeadlineUs() {
        return configuredIndices.values().stream()
                .mapToLong(index -> classes.get(index).deadlineUs())
                .max()
                .orElse(0);
    }

    /**
     * Returns for how long clients may still retry requests under rules that are no longer configured: the longest
     * deadline of the accepted classes that are not configured, or 0 if there are none.
     */
    public long retirementDelayUs() {
        return acceptedIndices.values().stream()
                .flatMap(Set::stream)
                .filter(index -> !configuredIndices.containsValue(index))
                .mapToLong(index -> classes.get(index).deadlineUs())
                .max()
                .orElse(0);
    }

    /** Returns the registry after {@link #retirementDelayUs} has passed: only configured classes are accepted. */
    public ClassRegistry withoutRetiredClasses() {
        return new ClassRegistry(
                settings, classes, configuredIndices, onlyConfigured(configuredIndices), tenantIndices);
    }
}
