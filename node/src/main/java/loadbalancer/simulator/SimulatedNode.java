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
 * A node of the simulation: its balancer, and the indices by which the balancer knows what the wire names.
 *
 * @param balancer the decisions of the node
 * @param classIndices by the name of a request class
 * @param tenantIndices by the name of a tenant
 * @param zoneIndices by the name of a zone
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

    /** The index of a zone; -1 if the node's settings do not name it. */
    int zoneIndex(String zone) {
        return zoneIndices.getOrDefault(zone, -1);
    }
}
