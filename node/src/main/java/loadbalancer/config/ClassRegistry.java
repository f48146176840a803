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
 * The request classes and tenants of a node over all reloads of its configuration. Immutable, but for the settings,
 * which the balancer only reads.
 *
 * <p>An open request refers to its class by index, so an index never changes its meaning: a class that comes back with
 * other rules gets a new index, and a class that is no longer configured stays in the list with a weight of 0.
 *
 * @param settings the current settings, with every class and tenant that there has been
 * @param classes by index, every class that there has been, with the rules that it was configured with
 * @param configuredIndices by name, the index of each class in the current configuration
 * @param acceptedIndices by name, the indices that a client's request may mean: the configured one first, then those
 *     of earlier configurations, since clients repeat requests that began by the earlier rules
 * @param tenantIndices by name, the index of each tenant
 */
public record ClassRegistry(
        BalancerSettings settings,
        List<RequestClass> classes,
        Map<String, Integer> configuredIndices,
        Map<String, Set<Integer>> acceptedIndices,
        Map<String, Integer> tenantIndices) {

    /** The registry of a node that starts with these settings. */
    public static ClassRegistry initial(BalancerSettings settings) {
        ClassRegistry empty = new ClassRegistry(new BalancerSettings(), List.of(), Map.of(), Map.of(), Map.of());
        return empty.with(settings);
    }

    /**
     * The registry once these settings have been loaded. The place of the node in its fleet and the form of load
     * reports stay as they are: they change only by a restart.
     *
     * @param loaded is completed by what the running settings hold, and belongs to the new registry from now on
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

    /** Completes the loaded tenants by those of earlier configurations, and returns the index of each by name. */
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

    /** The longest deadline of a configured class: the platform grants a draining process this long. */
    public long longestDeadlineUs() {
        return configuredIndices.values().stream()
                .mapToLong(index -> classes.get(index).deadlineUs())
                .max()
                .orElse(0);
    }

    /** For how long clients may still repeat requests by rules that are no longer configured. */
    public long retirementDelayUs() {
        return acceptedIndices.values().stream()
                .flatMap(Set::stream)
                .filter(index -> !configuredIndices.containsValue(index))
                .mapToLong(index -> classes.get(index).deadlineUs())
                .max()
                .orElse(0);
    }

    /** The same registry once {@link #retirementDelayUs} is over: only configured classes are accepted. */
    public ClassRegistry withoutRetiredClasses() {
        return new ClassRegistry(
                settings, classes, configuredIndices, onlyConfigured(configuredIndices), tenantIndices);
    }
}
