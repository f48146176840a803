package loadbalancer.settings;

/**
 * The names and values of settings in configuration files and on the simulator's wire. Each constant maps a name of the
 * protocol, which never changes, to the name that the code uses, in general that of the field of {@link
 * loadbalancer.policy.BalancerSettings} or {@link loadbalancer.policy.RequestClass}.
 */
final class SettingNames {
    // The node and its fleet.
    static final String NODES = "balancers";
    static final String NODE_INDEX = "me";
    static final String ZONES = "zones";
    static final String LOCAL_ZONE = "myZone";

    // Request classes: classes.0.name and so on.
    static final String CLASSES = "classes";
    static final String CLASS_NAME = "name";
    static final String CLASS_LATENCY_OBJECTIVE_US = "onTimeUs";
    static final String CLASS_OBJECTIVE_STRETCH = "aimStretch";
    static final String CLASS_DEADLINE_US = "giveUpUs";
    static final String CLASS_PRIORITY_WEIGHT = "importance";
    static final String CLASS_LATE_WEIGHT = "lateWorth";
    static final String CLASS_IDEMPOTENCY = "repeat";
    static final String IDEMPOTENT = "safe";
    static final String IDEMPOTENT_WITH_KEY = "keyed";
    static final String NON_IDEMPOTENT = "unsafe";
    static final String CLASS_DEDUPLICATION_SCOPE = "group";
    static final String SCOPE_ALL = "all";
    static final String SCOPE_ZONE = "zone";
    static final String SCOPE_CELL = "cell";
    static final String CLASS_DEDUPLICATION_WINDOW_US = "windowUs";
    static final String CLASS_STREAMING = "stream";

    // Tenants: realms.0.name and so on.
    static final String TENANTS = "realms";
    static final String TENANT_NAME = "name";

    static final String WEIGHT_UNIT = "countedBy";
    static final String WEIGHT_BY_WORK = "work";

    // Limits.
    static final String MAX_ATTEMPTS = "limits.attemptsCap";
    static final String HEDGING = "limits.parallelTries";
    static final String CANCELLATION = "limits.cancelling";
    static final String PROBES = "limits.probes";
    static final String RETRY_AFTER = "limits.retryAfter";
    static final String MAX_RETRY_AFTER_US = "limits.maxRetryAfterUs";
    static final String CONNECT_TIMEOUT_US = "limits.dialTimeoutUs";
    static final String TICK_US = "quantumUs";

    // Endpoint list.
    static final String ENDPOINT_LIST_MODE = "membershipMode";
    static final String ENDPOINT_LIST_POLLED = "on_request";
    static final String POLL_INTERVAL_US = "rules.askWithinUs";
    static final String DRAIN_GRACE_US = "rules.drainGraceUs";

    // Servers.
    static final String WARM_UP_INITIAL_SHARE = "rules.coldFrom";
    static final String WARM_UP_US = "rules.coldUs";
    static final String OVERLOAD_MULTIPLE = "rules.overloadFactor";
    static final String OVERLOAD_US = "rules.fallUs";
    static final String CROSS_ZONE_COST = "costs.crossZone";
    static final String KEY_AFFINITY = "extra.warmKeys";

    // Load reports.
    static final String REPORT_FIELDS = "report.fields";
    static final String REPORT_IN_FLIGHT = "concurrent";
    static final String REPORT_QUEUED = "depth";
    static final String REPORT_UTILISATION = "load_share";
    static final String REPORT_LATENCY_MS = "mean_ms";
    static final String REPORT_SERVED_PER_S = "tps";
    static final String REPORT_ERRORS_PER_S = "err_ps";

    private SettingNames() {}
}
