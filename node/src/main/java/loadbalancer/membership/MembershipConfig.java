package loadbalancer.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.membership.core.InvalidSettingException;
import loadbalancer.membership.core.MembershipSettings;
import loadbalancer.membership.core.MembershipSettingsBuilder;
import loadbalancer.net.SocketAddresses;

/**
 * Object {@code fleet} of a configuration file. {@code docs/membership.md} describes its keys.
 *
 * @param fleet name of the fleet; frames of other fleets are dropped
 * @param bind local address for datagrams and state syncs
 */
public record MembershipConfig(String fleet, InetSocketAddress bind, MembershipSettings settings) {
    private static final String DEFAULT_ZONE = "none";
    private static final String DEFAULT_ROLE = "node";
    private static final String MICROS_SUFFIX = "Us";
    private static final long MICROS_PER_MILLI = 1_000;

    /** Key in the file for each setting of the protocol. */
    private static final Map<String, String> KEYS = keys();

    private static Map<String, String> keys() {
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("probePeriodUs", "periodMs");
        keys.put("probeTimeoutUs", "answerMs");
        keys.put("indirectProbes", "askers");
        keys.put("suspicionPeriods", "suspicionPeriods");
        keys.put("maxSuspicionFactor", "suspicionMost");
        keys.put("suspicionConfirmations", "confirmations");
        keys.put("maxLocalHealth", "healthMost");
        keys.put("retransmitFactor", "spread");
        keys.put("stateSyncIntervalUs", "syncMs");
        keys.put("tombstoneRetentionUs", "forgetMs");
        keys.put("maxMembers", "mostMembers");
        return keys;
    }

    /**
     * Reads and validates the object. Throws MembershipConfigException, which names the key, its value and the allowed
     * values.
     *
     * @param defaultMember name of the member if the object has none
     */
    public static MembershipConfig read(JsonNode json, String defaultMember) {
        MembershipConfigReader reader = new MembershipConfigReader(json);
        String fleet = reader.name("name", null);
        String member = reader.name("member", defaultMember);
        InetSocketAddress bind = reader.address("bind", null);
        requireLoopback(bind, reader.flag("beyondLoopback"));
        InetSocketAddress advertised = reader.address("advertise", SocketAddresses.format(bind));
        List<String> seeds = reader.addresses("seeds");
        MembershipSettings defaults = MembershipSettings.of(
                member,
                SocketAddresses.format(advertised),
                reader.name("zone", DEFAULT_ZONE),
                reader.name("role", DEFAULT_ROLE),
                seeds);
        MembershipSettings settings = readSettings(reader, defaults);
        reader.rejectUnknownKeys();
        validate(settings);
        return new MembershipConfig(fleet, bind, settings);
    }

    /** Guards against a fleet that any host on the network could join by mistake: members are not authenticated. */
    private static void requireLoopback(InetSocketAddress bind, boolean beyondLoopback) {
        if (!beyondLoopback && !bind.getAddress().isLoopbackAddress()) {
            throw MembershipConfigException.invalid(
                    "bind", SocketAddresses.format(bind), "a loopback address, or \"beyondLoopback\": true beside it");
        }
    }

    private static MembershipSettings readSettings(MembershipConfigReader reader, MembershipSettings defaults) {
        MembershipSettingsBuilder builder = defaults.toBuilder();
        long periodUs = micros(reader, "probePeriodUs", defaults.probePeriodUs());
        builder.probePeriodUs(periodUs);
        builder.probeTimeoutUs(
                micros(reader, "probeTimeoutUs", periodUs * defaults.probeTimeoutUs() / defaults.probePeriodUs()));
        builder.indirectProbes(integer(reader, "indirectProbes", defaults.indirectProbes()));
        builder.suspicionPeriods(integer(reader, "suspicionPeriods", defaults.suspicionPeriods()));
        builder.maxSuspicionFactor(integer(reader, "maxSuspicionFactor", defaults.maxSuspicionFactor()));
        builder.suspicionConfirmations(integer(reader, "suspicionConfirmations", defaults.suspicionConfirmations()));
        builder.maxLocalHealth(integer(reader, "maxLocalHealth", defaults.maxLocalHealth()));
        builder.retransmitFactor(integer(reader, "retransmitFactor", defaults.retransmitFactor()));
        builder.stateSyncIntervalUs(micros(
                reader, "stateSyncIntervalUs", periodUs * defaults.stateSyncIntervalUs() / defaults.probePeriodUs()));
        builder.tombstoneRetentionUs(micros(reader, "tombstoneRetentionUs", defaults.tombstoneRetentionUs()));
        builder.maxMembers(integer(reader, "maxMembers", defaults.maxMembers()));
        return builder.build();
    }

    private static int integer(MembershipConfigReader reader, String setting, int defaultValue) {
        return reader.integer(KEYS.get(setting), defaultValue);
    }

    private static long micros(MembershipConfigReader reader, String setting, long defaultUs) {
        Integer millis = reader.positiveMillis(KEYS.get(setting));
        return millis == null ? defaultUs : millis * MICROS_PER_MILLI;
    }

    private static void validate(MembershipSettings settings) {
        try {
            settings.validate();
        } catch (InvalidSettingException e) {
            throw toConfigException(e);
        }
    }

    /** Converts the names of settings to keys of the file, and values from microseconds to milliseconds. */
    private static MembershipConfigException toConfigException(InvalidSettingException e) {
        String value = e.setting().endsWith(MICROS_SUFFIX)
                ? String.valueOf(Long.parseLong(e.value()) / MICROS_PER_MILLI)
                : e.value();
        String allowed = e.allowed();
        for (Map.Entry<String, String> key : KEYS.entrySet()) {
            allowed = allowed.replace(key.getKey(), key.getValue());
        }
        return MembershipConfigException.invalid(KEYS.getOrDefault(e.setting(), e.setting()), value, allowed, e);
    }
}
