package loadbalancer.settings;

import java.util.Map;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadReportField;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;

/**
 * Reads the settings of the balancer from strings by dotted name. Both the simulator's wire and the configuration file
 * of a node, once flattened, are read with this class, so that they cannot diverge.
 *
 * <p>A missing setting keeps the default of {@link BalancerSettings}. Only the name, latency objective, deadline and
 * idempotency of a request class and the name of a tenant are required. Unknown settings are ignored.
 */
public final class SettingsReader {
    private final SettingValues values;
    private final BalancerSettings settings = new BalancerSettings();

    private SettingsReader(SettingValues values) {
        this.values = values;
    }

    /**
     * Reads settings by dotted name. Ranges and dependencies between settings are not validated here, except that
     * deadlines and the maximum number of attempts must be positive.
     *
     * @throws InvalidSettingException if a required setting is missing, or a value has the wrong type
     */
    public static BalancerSettings read(Map<String, String> values) throws InvalidSettingException {
        return new SettingsReader(new SettingValues(values)).read();
    }

    private BalancerSettings read() throws InvalidSettingException {
        readPlaceInFleet();
        readClasses();
        readTenants();
        settings.weightByWork = SettingNames.WEIGHT_BY_WORK.equals(values.textOrDefault(SettingNames.WEIGHT_UNIT, ""));
        readLimits();
        readEndpointListRules();
        readServerRules();
        readReportFields();
        return settings;
    }

    private void readPlaceInFleet() throws InvalidSettingException {
        settings.nodes = (int) values.longOrDefault(SettingNames.NODES, settings.nodes);
        settings.nodeIndex = (int) values.longOrDefault(SettingNames.NODE_INDEX, settings.nodeIndex);
        for (String zone : values.list(SettingNames.ZONES)) {
            settings.zones.add(zone);
        }
        String localZone = values.textOrDefault(SettingNames.LOCAL_ZONE, "");
        settings.localZone = Math.max(0, settings.zones.indexOf(localZone));
    }

    private void readClasses() throws InvalidSettingException {
        int count = values.count(SettingNames.CLASSES);
        for (int index = 0; index < count; index++) {
            settings.classes.add(readClass(SettingValues.prefix(SettingNames.CLASSES, index)));
        }
    }

    private RequestClass readClass(String prefix) throws InvalidSettingException {
        String idempotency = values.required(prefix + SettingNames.CLASS_IDEMPOTENCY);
        return new RequestClass(
                values.required(prefix + SettingNames.CLASS_NAME),
                values.requiredLong(prefix + SettingNames.CLASS_LATENCY_OBJECTIVE_US),
                values.doubleOrDefault(prefix + SettingNames.CLASS_OBJECTIVE_STRETCH, 0),
                values.requiredPositiveLong(prefix + SettingNames.CLASS_DEADLINE_US),
                values.doubleOrDefault(prefix + SettingNames.CLASS_PRIORITY_WEIGHT, 1),
                values.doubleOrDefault(prefix + SettingNames.CLASS_LATE_WEIGHT, 0),
                switch (idempotency) {
                    case SettingNames.IDEMPOTENT -> Idempotency.IDEMPOTENT;
                    case SettingNames.IDEMPOTENT_WITH_KEY -> Idempotency.IDEMPOTENT_WITH_KEY;
                    case SettingNames.NON_IDEMPOTENT -> Idempotency.NON_IDEMPOTENT;
                    default -> throw unknownValue(prefix + SettingNames.CLASS_IDEMPOTENCY, idempotency);
                },
                readDeduplicationScope(prefix + SettingNames.CLASS_DEDUPLICATION_SCOPE),
                values.longOrDefault(prefix + SettingNames.CLASS_DEDUPLICATION_WINDOW_US, 0),
                values.flag(prefix + SettingNames.CLASS_STREAMING));
    }

    private DeduplicationScope readDeduplicationScope(String name) throws InvalidSettingException {
        String scope = values.textOrDefault(name, SettingNames.SCOPE_ALL);
        return switch (scope) {
            case SettingNames.SCOPE_ALL -> DeduplicationScope.ALL;
            case SettingNames.SCOPE_ZONE -> DeduplicationScope.ZONE;
            case SettingNames.SCOPE_CELL -> DeduplicationScope.CELL;
            default -> throw unknownValue(name, scope);
        };
    }

    private static InvalidSettingException unknownValue(String name, String value) {
        return new InvalidSettingException(name, "is unknown: " + value);
    }

    private void readTenants() throws InvalidSettingException {
        int count = values.count(SettingNames.TENANTS);
        for (int index = 0; index < count; index++) {
            String prefix = SettingValues.prefix(SettingNames.TENANTS, index);
            settings.tenants.add(new Tenant(values.required(prefix + SettingNames.TENANT_NAME)));
        }
    }

    private void readLimits() throws InvalidSettingException {
        if (values.has(SettingNames.MAX_ATTEMPTS)) {
            long maxAttempts = values.requiredPositiveLong(SettingNames.MAX_ATTEMPTS);
            settings.maxAttempts = (int) Math.min(Integer.MAX_VALUE, maxAttempts);
        }
        settings.hedging = values.flag(SettingNames.HEDGING);
        settings.cancellation = values.flag(SettingNames.CANCELLATION);
        settings.probes = values.flag(SettingNames.PROBES);
        if (values.flag(SettingNames.RETRY_AFTER)) {
            settings.maxRetryAfterUs = values.longOrDefault(SettingNames.MAX_RETRY_AFTER_US, 0);
        }
        settings.tickUs = values.longOrDefault(SettingNames.TICK_US, settings.tickUs);
        settings.connectTimeoutUs = values.longOrDefault(SettingNames.CONNECT_TIMEOUT_US, settings.connectTimeoutUs);
    }

    private void readEndpointListRules() throws InvalidSettingException {
        String mode = values.textOrDefault(SettingNames.ENDPOINT_LIST_MODE, "");
        settings.pollsEndpointList = mode.equals(SettingNames.ENDPOINT_LIST_POLLED);
        settings.pollIntervalUs = values.longOrDefault(SettingNames.POLL_INTERVAL_US, settings.pollIntervalUs);
        settings.drainGraceUs = values.longOrDefault(SettingNames.DRAIN_GRACE_US, settings.drainGraceUs);
    }

    private void readServerRules() throws InvalidSettingException {
        settings.warmUpInitialShare =
                values.doubleOrDefault(SettingNames.WARM_UP_INITIAL_SHARE, settings.warmUpInitialShare);
        settings.warmUpUs = values.longOrDefault(SettingNames.WARM_UP_US, settings.warmUpUs);
        settings.overloadMultiple = values.doubleOrDefault(SettingNames.OVERLOAD_MULTIPLE, settings.overloadMultiple);
        settings.overloadUs = values.longOrDefault(SettingNames.OVERLOAD_US, settings.overloadUs);
        settings.crossZoneCost = values.doubleOrDefault(SettingNames.CROSS_ZONE_COST, settings.crossZoneCost);
        settings.keyAffinity = values.flag(SettingNames.KEY_AFFINITY);
    }

    private void readReportFields() {
        for (String field : values.list(SettingNames.REPORT_FIELDS)) {
            settings.reportFields.add(
                    switch (field) {
                        case SettingNames.REPORT_IN_FLIGHT -> LoadReportField.IN_FLIGHT;
                        case SettingNames.REPORT_QUEUED -> LoadReportField.QUEUED;
                        case SettingNames.REPORT_UTILISATION -> LoadReportField.UTILISATION;
                        case SettingNames.REPORT_LATENCY_MS -> LoadReportField.LATENCY_MS;
                        case SettingNames.REPORT_SERVED_PER_S -> LoadReportField.SERVED_PER_S;
                        case SettingNames.REPORT_ERRORS_PER_S -> LoadReportField.ERRORS_PER_S;
                        default -> LoadReportField.OTHER;
                    });
        }
    }
}
