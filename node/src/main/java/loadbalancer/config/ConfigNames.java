package loadbalancer.config;

/**
 * The keys of the configuration file and the environment variables of a node, as operators write them. The keys below
 * {@link #SETTINGS} that concern the balancer are named by the settings' own reader.
 */
final class ConfigNames {
    /** The path of the configuration file. */
    static final String ENV_FILE = "PROXY_CONFIG";
    /** In place of {@link #LISTEN}. */
    static final String ENV_LISTEN = "PROXY_LISTEN";
    /** In place of {@link #DISCOVERY}, at the start only. */
    static final String ENV_DISCOVERY = "PROXY_DISCOVERY";
    /** In place of {@link #CONTROL}. */
    static final String ENV_CONTROL = "PROXY_CONTROL";
    /** The descriptor of a listening socket that the node inherits. */
    static final String ENV_LISTENER_DESCRIPTOR = "PROXY_SOCKET_FD";
    /** A folder that all processes of the node share. */
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
