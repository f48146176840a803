package loadbalancer.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;

/**
 * A simulated node: its balancer, and the mapping from names on the wire to the indices that the balancer uses.
 *
 * @param balancer the balancer of the node
 * @param classIndices the index of each request class, by name
 * @param tenantIndices the index of each tenant, by name
 * @param zoneIndices the index of each zone, by name
 */
record SimulatedNode(
        Balancer balancer,
        Map<String, Integer> classIndices,
        Map<String, Integer> tenantIndices,
        Map<String, Integer> zoneIndices) {

    static SimulatedNode of(Balancer balancer, BalancerSettings settings) {
        return new SimulatedNode(
                balancer,
                indices(settings.classes, RequestClass::name),
                indices(settings.tenants, Tenant::name),
                indices(settings.zones, zone -> zone));
    }

    private static <T> Map<String, Integer> indices(List<T> values, Function<T, String> name) {
        Map<String, Integer> indices = new HashMap<>();
        for (T value : values) {
            indices.put(name.apply(value), indices.size());
        }
        return indices;
    }

    /** Returns the index of a zone; -1 if the settings of the node do not list it. */
    int zoneIndex(String zone) {
        return zoneIndices.getOrDefault(zone, -1);
    }
}
