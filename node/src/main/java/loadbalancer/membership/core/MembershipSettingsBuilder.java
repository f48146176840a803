package loadbalancer.membership.core;

import java.util.List;

/** Builder of {@link MembershipSettings}, which describes the settings. An unset setting keeps its default. */
public final class MembershipSettingsBuilder {
    private final String name;
    private final String address;
    private final String zone;
    private final String role;
    private final List<String> seeds;
    private long probePeriodUs = 1_000_000;
    private long probeTimeoutUs = 400_000;
    private int indirectProbes = 3;
    private int suspicionPeriods = 4;
    private int maxSuspicionFactor = 6;
    private int suspicionConfirmations = 3;
    private int maxLocalHealth = 8;
    private int retransmitFactor = 4;
    private long stateSyncIntervalUs = 30_000_000;
    private long tombstoneRetentionUs = 3_600_000_000L;
    private int maxMembers = 10_000;
    private int gossipBudgetBytes = MembershipSettings.MAX_GOSSIP_BUDGET_BYTES;

    MembershipSettingsBuilder(String name, String address, String zone, String role, List<String> seeds) {
        this.name = name;
        this.address = address;
        this.zone = zone;
        this.role = role;
        this.seeds = List.copyOf(seeds);
    }

    public MembershipSettingsBuilder probePeriodUs(long value) {
        probePeriodUs = value;
        return this;
    }

    public MembershipSettingsBuilder probeTimeoutUs(long value) {
        probeTimeoutUs = value;
        return this;
    }

    public MembershipSettingsBuilder indirectProbes(int value) {
        indirectProbes = value;
        return this;
    }

    public MembershipSettingsBuilder suspicionPeriods(int value) {
        suspicionPeriods = value;
        return this;
    }

    public MembershipSettingsBuilder maxSuspicionFactor(int value) {
        maxSuspicionFactor = value;
        return this;
    }

    public MembershipSettingsBuilder suspicionConfirmations(int value) {
        suspicionConfirmations = value;
        return this;
    }

    public MembershipSettingsBuilder maxLocalHealth(int value) {
        maxLocalHealth = value;
        return this;
    }

    public MembershipSettingsBuilder retransmitFactor(int value) {
        retransmitFactor = value;
        return this;
    }

    public MembershipSettingsBuilder stateSyncIntervalUs(long value) {
        stateSyncIntervalUs = value;
        return this;
    }

    public MembershipSettingsBuilder tombstoneRetentionUs(long value) {
        tombstoneRetentionUs = value;
        return this;
    }

    public MembershipSettingsBuilder maxMembers(int value) {
        maxMembers = value;
        return this;
    }

    public MembershipSettingsBuilder gossipBudgetBytes(int value) {
        gossipBudgetBytes = value;
        return this;
    }

    /** Returns the settings without validating them. */
    public MembershipSettings build() {
        return new MembershipSettings(
                name,
                address,
                zone,
                role,
                probePeriodUs,
                probeTimeoutUs,
                indirectProbes,
                suspicionPeriods,
                maxSuspicionFactor,
                suspicionConfirmations,
                maxLocalHealth,
                retransmitFactor,
                stateSyncIntervalUs,
                tombstoneRetentionUs,
                maxMembers,
                gossipBudgetBytes,
                seeds);
    }
}
