package loadbalancer.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointListDecoder;
import loadbalancer.discovery.InvalidEndpointListException;
import loadbalancer.membership.MembershipConfig;
import loadbalancer.net.SocketAddresses;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.settings.InvalidSettingException;
import loadbalancer.settings.SettingsReader;

/**
 * What a node is told at its start, by the environment and the configuration file.
 *
 * @param listen where clients connect
 * @param discovery where the server list is had; null for a node apart
 * @param seed for random numbers, new with each start
 * @param sockets how many descriptors the process may hold
 * @param connIdleUs after so long servers close idle connections
 * @param known the server list as this node last had it
 * @param settings the module's
 * @param keys all names that the file holds, but for what is in the list
 * @param operators what is only there for operators
 * @param fleet the fleet of processes that it takes part in; null for none
 */
public record NodeConfig(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        long connIdleUs,
        EndpointList known,
        BalancerSettings settings,
        Set<String> keys,
        Operators operators,
        MembershipConfig fleet) {

    /** A file that cannot be taken is looked at again for so long, this often: figures may be 0.5 s late. */
    private static final long SETTLES_MS = 200;

    private static final long LOOK_MS = 20;

    /**
     * What a node has only where operators run it day by day.
     *
     * @param control where they call; null without such an address
     * @param folder what processes of this node hand on to each other; null if nothing is
     * @param inherits whether the platform holds the clients' listening socket
     */
    public record Operators(InetSocketAddress control, Path folder, boolean inherits) {
        static final Operators NONE = new Operators(null, null, false);

        private static Operators read(Map<String, String> env, JsonNode json) throws ConfigException {
            String control =
                    env.getOrDefault("PROXY_CONTROL", json.path("control").asText());
            String folder = env.getOrDefault("TMPDIR", "");
            String descriptor = env.getOrDefault("PROXY_SOCKET_FD", "");
            if (!descriptor.isEmpty() && !descriptor.equals("0")) {
                throw new ConfigException("PROXY_SOCKET_FD", "is not 0, the only one: " + descriptor);
            }
            return new Operators(
                    control.isEmpty() ? null : address("control", control),
                    folder.isEmpty() ? null : Path.of(folder),
                    !descriptor.isEmpty());
        }
    }

    private static final int LEAST_SOCKETS = 64;
    /** Clients hold a third of the descriptors at most, over two processes of which one follows the other. */
    private static final int CLIENT_SHARE = 3 * 2;

    private static final long DEFAULT_CONN_IDLE_US = 15_000_000;

    /** The environment's addresses hold where they are set; all else is in the file that it names. */
    public static NodeConfig read(Map<String, String> env) throws ConfigException {
        JsonNode json = file(env);
        if (!json.isObject() || !json.path("settings").isObject()) {
            throw new ConfigException("settings", "is missing or not an object");
        }
        Map<String, String> flat = new HashMap<>();
        flatten("", json.get("settings"), flat);
        BalancerSettings settings = settings(flat);
        JsonNode sockets = json.path("limits").path("sockets");
        if (!sockets.canConvertToInt() || sockets.asInt() < LEAST_SOCKETS) {
            throw new ConfigException("limits.sockets", "is missing or under " + LEAST_SOCKETS);
        }
        long idle = json.path("settings").path("limits").path("connIdleUs").asLong(DEFAULT_CONN_IDLE_US);
        if (idle <= 0) {
            throw new ConfigException("settings.limits.connIdleUs", "is not above 0");
        }
        Operators operators = Operators.read(env, json);
        if (operators.inherits()) {
            settings.maxOpen = sockets.asInt() / CLIENT_SHARE;
        }
        String listen = env.getOrDefault("PROXY_LISTEN", json.path("listen").asText());
        String discovery =
                env.getOrDefault("PROXY_DISCOVERY", json.path("discovery").asText());
        return new NodeConfig(
                address("listen", listen),
                address("discovery", discovery),
                seed(json.path("seed").asText()),
                sockets.asInt(),
                idle,
                known(json, settings.zones),
                settings,
                ownKeys(json),
                operators,
                fleet(json));
    }

    /**
     * The file as it stands, for a node that runs by this configuration. The environment tells only where
     * discovery was at the start. Defaults, and the environment in place of an address, are for what a file
     * never had: a key that is gone from the file was lost on the way, and the rest of that file is not to be
     * trusted either.
     */
    public NodeConfig again(Map<String, String> env) throws ConfigException {
        Map<String, String> now = new HashMap<>(env);
        now.remove("PROXY_DISCOVERY");
        NodeConfig read = read(now);
        for (String key : keys) {
            if (!read.keys.contains(key)) {
                throw new ConfigException(key, "is missing, and was there before");
            }
        }
        return read;
    }

    /** The list aside, which only counts at the start and has the entries that it has. */
    private static Set<String> ownKeys(JsonNode json) {
        Set<String> keys = keys(json, "");
        keys.removeIf(key -> key.equals("known") || key.startsWith("known."));
        return keys;
    }

    /** All names in this object; of what stands in a list, those that every entry has. */
    private static Set<String> keys(JsonNode json, String prefix) {
        Set<String> keys = new TreeSet<>();
        json.properties().forEach(field -> {
            String name = prefix + field.getKey();
            JsonNode value = field.getValue();
            if (!value.isNull()) {
                keys.add(name);
            }
            if (value.isObject()) {
                keys.addAll(keys(value, name + "."));
            } else if (value.isArray() && value.path(0).isObject()) {
                Set<String> inAll = keys(value.get(0), name + "[].");
                value.forEach(entry -> inAll.retainAll(keys(entry, name + "[].")));
                keys.addAll(inAll);
            }
        });
        return keys;
    }

    private static JsonNode file(Map<String, String> env) throws ConfigException {
        String path = env.getOrDefault("PROXY_CONFIG", "");
        if (path.isEmpty()) {
            throw new ConfigException("PROXY_CONFIG", "is not set");
        }
        try {
            JsonNode json = new ObjectMapper().readTree(new File(path));
            if (json.isMissingNode()) {
                throw new ConfigException("PROXY_CONFIG", "is empty");
            }
            return json;
        } catch (JsonProcessingException e) {
            throw new ConfigException("PROXY_CONFIG", "is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigException("PROXY_CONFIG", "cannot be read: " + e.getMessage());
        }
    }

    /** The same once the file can be taken: the signal that calls for it may have come ahead of its end. */
    public NodeConfig againSettled(Map<String, String> env) throws ConfigException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLES_MS);
        while (true) {
            try {
                return again(env);
            } catch (ConfigException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOOK_MS));
        }
    }

    private static BalancerSettings settings(Map<String, String> flat) throws ConfigException {
        try {
            BalancerSettings settings = SettingsReader.read(flat);
            settings.validate();
            Set<String> names = new HashSet<>();
            for (RequestClass c : settings.classes) {
                if (!names.add(c.name())) {
                    throw new ConfigException("settings.classes", "has two of the name " + c.name());
                }
            }
            return settings;
        } catch (InvalidSettingException e) {
            throw new ConfigException("settings." + e.setting(), e.problem());
        } catch (IllegalArgumentException e) {
            throw new ConfigException("settings:", e.getMessage());
        }
    }

    /** Dotted names as on the simulator's wire: objects in a list are numbered and counted. */
    private static void flatten(String path, JsonNode json, Map<String, String> flat) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (json.isObject()) {
            json.properties().forEach(field -> flatten(prefix + field.getKey(), field.getValue(), flat));
        } else if (json.isArray() && json.path(0).isObject()) {
            flat.put(prefix + "count", Integer.toString(json.size()));
            for (int i = 0; i < json.size(); i++) {
                flatten(prefix + i, json.get(i), flat);
            }
        } else if (json.isArray()) {
            StringBuilder values = new StringBuilder();
            json.forEach(value -> values.append(values.isEmpty() ? "" : ",").append(value.asText()));
            flat.put(path, values.toString());
        } else if (!json.isNull()) {
            flat.put(path, json.asText());
        }
    }

    /** The same for a node that keeps to itself: on any port, with these servers and no discovery. */
    public NodeConfig apart(EndpointList servers) {
        BalancerSettings apart = new BalancerSettings();
        apart.zones.addAll(settings.zones);
        apart.classes.addAll(settings.classes);
        apart.tenants.addAll(settings.tenants);
        apart.maxAttempts = settings.maxAttempts;
        apart.cancellation = settings.cancellation;
        return new NodeConfig(
                new InetSocketAddress(listen.getAddress(), 0),
                null,
                seed,
                sockets,
                connIdleUs,
                servers,
                apart,
                Set.of(),
                Operators.NONE,
                null);
    }

    private static EndpointList known(JsonNode json, List<String> zones) throws ConfigException {
        if (!json.hasNonNull("known")) {
            return EndpointList.empty();
        }
        try {
            return new EndpointListDecoder(zones).decode(json.get("known"));
        } catch (InvalidEndpointListException e) {
            throw new ConfigException("known." + e.field(), e.problem());
        }
    }

    private static MembershipConfig fleet(JsonNode json) throws ConfigException {
        if (!json.hasNonNull("fleet")) {
            return null;
        }
        try {
            return MembershipConfig.read(json.get("fleet"), json.path("name").asText());
        } catch (IllegalArgumentException e) {
            throw new ConfigException("configuration:", e.getMessage());
        }
    }

    private static InetSocketAddress address(String key, String text) throws ConfigException {
        InetSocketAddress address = SocketAddresses.parseOrNull(text);
        if (address == null) {
            throw new ConfigException(key, "is not address:port: " + text);
        }
        return address;
    }

    private static long seed(String text) throws ConfigException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed", "is not 1 to 16 hex digits");
        }
    }
}
