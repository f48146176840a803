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
 * Settings as the module has them, and the names by which clients ask for what is in them. Open requests know
 * their class by its place, so each keeps its place for good, and one that comes with other rules gets a new
 * one. What is no longer in the file is worth nothing.
 *
 * @param settings with every class and tenant that there has been
 * @param known these classes as they were read
 * @param current the place of each class that is in the file
 * @param asked the places that clients may mean by each name: the current one first, then those which were
 *     current until lately, as requests by the rules before are still under way and clients repeat theirs
 * @param tenants places by name
 */
public record ClassRegistry(
        BalancerSettings settings,
        List<RequestClass> known,
        Map<String, Integer> current,
        Map<String, Set<Integer>> asked,
        Map<String, Integer> tenants) {

    public static ClassRegistry first(BalancerSettings settings) {
        return new ClassRegistry(new BalancerSettings(), List.of(), Map.of(), Map.of(), Map.of()).with(settings);
    }

    /** These settings from now on, but for what only a restart takes: the node's place and reports' form. */
    public ClassRegistry then(BalancerSettings read) {
        read.nodes = settings.nodes;
        read.nodeIndex = settings.nodeIndex;
        read.localZone = settings.localZone;
        read.zones.clear();
        read.zones.addAll(settings.zones);
        read.reportFields.clear();
        read.reportFields.addAll(settings.reportFields);
        read.pollsEndpointList = settings.pollsEndpointList;
        return with(read);
    }

    private ClassRegistry with(BalancerSettings read) {
        List<RequestClass> all = new ArrayList<>(known);
        Map<String, Integer> inFile = new HashMap<>();
        for (RequestClass c : read.classes) {
            if (!all.contains(c)) {
                all.add(c);
            }
            inFile.put(c.name(), all.indexOf(c));
        }
        read.classes.clear();
        for (RequestClass c : all) {
            read.classes.add(inFile.containsValue(read.classes.size()) ? c : worthless(c));
        }
        Map<String, Set<Integer>> names = alone(inFile);
        asked.forEach((name, places) ->
                names.computeIfAbsent(name, n -> new LinkedHashSet<>()).addAll(places));
        return new ClassRegistry(read, all, inFile, names, allTenants(read.tenants));
    }

    private static Map<String, Set<Integer>> alone(Map<String, Integer> places) {
        Map<String, Set<Integer>> names = new HashMap<>();
        places.forEach((name, place) -> names.put(name, new LinkedHashSet<>(List.of(place))));
        return names;
    }

    private static RequestClass worthless(RequestClass c) {
        return new RequestClass(
                c.name(),
                c.latencyObjectiveUs(),
                c.objectiveStretch(),
                c.deadlineUs(),
                0,
                0,
                c.idempotency(),
                c.deduplicationScope(),
                c.deduplicationWindowUs(),
                c.streaming());
    }

    private Map<String, Integer> allTenants(List<Tenant> read) {
        List<Tenant> all = new ArrayList<>(settings.tenants);
        Map<String, Integer> places = new HashMap<>(tenants);
        for (Tenant tenant : read) {
            Integer place = places.putIfAbsent(tenant.name(), all.size());
            if (place == null) {
                all.add(tenant);
            } else {
                all.set(place, tenant);
            }
        }
        read.clear();
        read.addAll(all);
        return places;
    }

    /** What the platform reckons with at a planned end: it knows the file as it is, not those before. */
    public long longestDeadlineUs() {
        return current.values().stream()
                .mapToLong(place -> known.get(place).deadlineUs())
                .max()
                .orElse(0);
    }

    /** How long clients may still ask by rules that are no longer in the file. */
    public long settlesAfterUs() {
        return asked.values().stream()
                .flatMap(Set::stream)
                .filter(place -> !current.containsValue(place))
                .mapToLong(place -> known.get(place).deadlineUs())
                .max()
                .orElse(0);
    }

    /** The same once nobody can be asking by those. */
    public ClassRegistry settled() {
        return new ClassRegistry(settings, known, current, alone(current), tenants);
    }
}
