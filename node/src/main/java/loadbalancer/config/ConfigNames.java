package loadbalancer.config;

/**
 * The keys of the configuration file and the environment variables of a node. The keys below {@link #SETTINGS} that the
 * balancer uses are defined in the package {@code loadbalancer.settings}.
 */
final class ConfigNames {
    /** The path of the configuration file. */
    static final String ENV_FILE = "PROXY_CONFIG";
    /** Overrides {@link #LISTEN}. */
    static final String ENV_LISTEN = "PROXY_LISTEN";
    /** Overrides {@link #DISCOVERY}, at startup only. */
    static final String ENV_DISCOVERY = "PROXY_DISCOVERY";
    /** Overrides {@link #CONTROL}. */
    static final String ENV_CONTROL = "PROXY_CONTROL";
    /** The file descriptor of the listening socket that the process inherits; must be 0 if set. */
    static final String ENV_LISTENER_DESCRIPTOR = "PROXY_SOCKET_FD";
    /** The path of a folder that all processes of the node share. */
    static final String ENV_SHARED_FOLDER = "TMPDIR";

    static final String NAME = "name";
    static final String LISTEN = "listen";
    static final String DISCOVERY = "discovery";
    static final String CONTROL = "control";
    static final String SEED = "seed";
    static final String LIMITS = "limits";
    static final String MAX_SOCKETS = "sockets";
    static final String ENDPOINTS = "known";
    static final String SETTINGS = "settings";
    static final String SERVER_IDLE_TIMEOUT_US = "connIdleUs";
    static final String MEMBERSHIP = "fleet";

    private ConfigNames() {}
}
