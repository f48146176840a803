package loadbalancer.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
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
 * Reads and validates the configuration of a node. The environment names the file; addresses in the environment
 * override those in the file. The first problem found is thrown.
 */
public final class NodeConfigReader {
    private static final int MIN_SOCKETS = 64;
    /**
     * The number of sockets per open client request. A third of the sockets is for clients, and half of that third for
     * each of the two processes that run side by side during an upgrade.
     */
    private static final int SOCKETS_PER_OPEN_REQUEST = 3 * 2;

    private static final long DEFAULT_SERVER_IDLE_TIMEOUT_US = 15_000_000;
    private static final String INHERITED_DESCRIPTOR = "0";
    private static final int HEXADECIMAL = 16;

    private final Map<String, String> environment;
    private final ConfigFile file;

    private NodeConfigReader(Map<String, String> environment, ConfigFile file) {
        this.environment = environment;
        this.file = file;
    }

    /**
     * Reads the configuration from the given environment and the file that it names.
     *
     * @throws ConfigException if a value is missing or invalid; the exception names the key
     */
    public static NodeConfig read(Map<String, String> environment) throws ConfigException {
        ConfigFile file = ConfigFile.read(environment.getOrDefault(ConfigNames.ENV_FILE, ""));
        return new NodeConfigReader(environment, file).read();
    }

    private NodeConfig read() throws ConfigException {
        BalancerSettings settings = readSettings();
        int maxSockets = readMaxSockets();
        long serverIdleTimeoutUs = readServerIdleTimeoutUs();
        OperationsConfig operations = readOperations();
        if (operations.inheritsListener()) {
            settings.maxOpen = maxSockets / SOCKETS_PER_OPEN_REQUEST;
        }
        return new NodeConfig(
                parseAddress(ConfigNames.LISTEN, variableOrKey(ConfigNames.ENV_LISTEN, ConfigNames.LISTEN)),
                parseAddress(ConfigNames.DISCOVERY, variableOrKey(ConfigNames.ENV_DISCOVERY, ConfigNames.DISCOVERY)),
                readSeed(),
                maxSockets,
                serverIdleTimeoutUs,
                readEndpoints(settings),
                settings,
                file.keys(),
                operations,
                readMembership());
    }

    private BalancerSettings readSettings() throws ConfigException {
        try {
            BalancerSettings settings = SettingsReader.read(file.flattenedSettings());
            settings.validate();
            requireUniqueNames(settings);
            return settings;
        } catch (InvalidSettingException e) {
            throw new ConfigException(ConfigNames.SETTINGS + "." + e.setting(), e.problem());
        } catch (IllegalArgumentException e) {
            throw new ConfigException(ConfigNames.SETTINGS + ":", e.getMessage());
        }
    }

    private static void requireUniqueNames(BalancerSettings settings) throws ConfigException {
        Set<String> names = new HashSet<>();
        for (RequestClass requestClass : settings.classes) {
            if (!names.add(requestClass.name())) {
                throw new ConfigException(
                        ConfigNames.SETTINGS + ".classes", "has two classes named " + requestClass.name());
            }
        }
    }

    private int readMaxSockets() throws ConfigException {
        JsonNode value = file.value(ConfigNames.LIMITS).path(ConfigNames.MAX_SOCKETS);
        if (!value.canConvertToInt() || value.asInt() < MIN_SOCKETS) {
            throw new ConfigException(
                    ConfigNames.LIMITS + "." + ConfigNames.MAX_SOCKETS,
                    "is missing or not a 32-bit number of at least " + MIN_SOCKETS);
        }
        return value.asInt();
    }

    private long readServerIdleTimeoutUs() throws ConfigException {
        JsonNode limits = file.value(ConfigNames.SETTINGS).path(ConfigNames.LIMITS);
        long timeoutUs = limits.path(ConfigNames.SERVER_IDLE_TIMEOUT_US).asLong(DEFAULT_SERVER_IDLE_TIMEOUT_US);
        if (timeoutUs <= 0) {
            throw new ConfigException(
                    ConfigNames.SETTINGS + "." + ConfigNames.LIMITS + "." + ConfigNames.SERVER_IDLE_TIMEOUT_US,
                    "is not positive");
        }
        return timeoutUs;
    }

    private OperationsConfig readOperations() throws ConfigException {
        String controlAddress = variableOrKey(ConfigNames.ENV_CONTROL, ConfigNames.CONTROL);
        String sharedFolder = environment.getOrDefault(ConfigNames.ENV_SHARED_FOLDER, "");
        String descriptor = environment.getOrDefault(ConfigNames.ENV_LISTENER_DESCRIPTOR, "");
        if (!descriptor.isEmpty() && !descriptor.equals(INHERITED_DESCRIPTOR)) {
            throw new ConfigException(
                    ConfigNames.ENV_LISTENER_DESCRIPTOR, "is not 0, the only allowed file descriptor: " + descriptor);
        }
        return new OperationsConfig(
                controlAddress.isEmpty() ? null : parseAddress(ConfigNames.CONTROL, controlAddress),
                sharedFolder.isEmpty() ? null : Path.of(sharedFolder),
                !descriptor.isEmpty());
    }

    /** Returns the value of an environment variable, or the text of a key in the file if the variable is not set. */
    private String variableOrKey(String variable, String key) {
        return environment.getOrDefault(variable, file.text(key));
    }

    private static InetSocketAddress parseAddress(String key, String text) throws ConfigException {
        InetSocketAddress address = SocketAddresses.parseOrNull(text);
        if (address == null) {
            throw new ConfigException(key, "is not address:port: " + text);
        }
        return address;
    }

    private long readSeed() throws ConfigException {
        try {
            return Long.parseUnsignedLong(file.text(ConfigNames.SEED), HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new ConfigException(ConfigNames.SEED, "is not 1 to 16 hex digits");
        }
    }

    private EndpointList readEndpoints(BalancerSettings settings) throws ConfigException {
        if (!file.has(ConfigNames.ENDPOINTS)) {
            return EndpointList.empty();
        }
        try {
            return new EndpointListDecoder(settings.zones).decode(file.value(ConfigNames.ENDPOINTS));
        } catch (InvalidEndpointListException e) {
            throw new ConfigException(ConfigNames.ENDPOINTS + "." + e.field(), e.problem());
        }
    }

    private MembershipConfig readMembership() throws ConfigException {
        if (!file.has(ConfigNames.MEMBERSHIP)) {
            return null;
        }
        try {
            return MembershipConfig.read(file.value(ConfigNames.MEMBERSHIP), file.text(ConfigNames.NAME));
        } catch (IllegalArgumentException e) {
            throw new ConfigException("configuration:", e.getMessage());
        }
    }
}
