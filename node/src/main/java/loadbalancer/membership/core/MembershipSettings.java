package loadbalancer.membership.core;

import java.util.List;

/**
 * How a process takes part in membership. {@code docs/membership.md} says how each default follows from the probe
 * period and the number of members.
 *
 * @param name this member's name, the same after a restart
 * @param address where others reach this member
 * @param zone where this member runs
 * @param role what this member does
 * @param probePeriodUs one member is probed in each period
 * @param probeTimeoutUs a ping without an ack for so long is followed by indirect pings
 * @param indirectProbes how many other members are asked for an indirect ping; also how many receive a gossip message
 * @param suspicionPeriods shortest suspicion timeout, in probe periods times log10 of the members (1 at least)
 * @param maxSuspicionFactor longest suspicion timeout, in shortest ones: while no other member confirms the suspicion
 * @param suspicionConfirmations so many confirmations shorten the timeout to the shortest one
 * @param maxLocalHealth highest local health score; probe times are up to 1 + this times longer; 0 turns it off
 * @param retransmitFactor how often each gossip update is sent, times log2 of the members
 * @param stateSyncIntervalUs mean time between two state syncs with another member
 * @param tombstoneRetentionUs for how long a dead or left member is remembered
 * @param maxMembers how many names are remembered, this process included; new ones beyond are rejected
 * @param gossipBudgetBytes for gossip updates in one datagram
 * @param seeds addresses that are contacted at the start, and for ever while no live member has them
 */
public record MembershipSettings(
        String name,
        String address,
        String zone,
        String role,
        long probePeriodUs,
        long probeTimeoutUs,
        int indirectProbes,
        int suspicionPeriods,
        int maxSuspicionFactor,
        int suspicionConfirmations,
        int maxLocalHealth,
        int retransmitFactor,
        long stateSyncIntervalUs,
        long tombstoneRetentionUs,
        int maxMembers,
        int gossipBudgetBytes,
        List<String> seeds) {
    /** A datagram of 1,400 bytes less the longest of everything else in it. */
    public static final int MAX_GOSSIP_BUDGET_BYTES = 880;

    private static final int MIN_GOSSIP_BUDGET_BYTES = 400;

    /** Settings of this member with the defaults for everything else. */
    public static MembershipSettings of(String name, String address, String zone, String role, List<String> seeds) {
        return builder(name, address, zone, role, seeds).build();
    }

    /** A builder for this member that starts with the defaults. */
    public static MembershipSettingsBuilder builder(
            String name, String address, String zone, String role, List<String> seeds) {
        return new MembershipSettingsBuilder(name, address, zone, role, seeds);
    }

    /** A builder that starts with these settings. */
    public MembershipSettingsBuilder toBuilder() {
        return builder(name, address, zone, role, seeds)
                .probePeriodUs(probePeriodUs)
                .probeTimeoutUs(probeTimeoutUs)
                .indirectProbes(indirectProbes)
                .suspicionPeriods(suspicionPeriods)
                .maxSuspicionFactor(maxSuspicionFactor)
                .suspicionConfirmations(suspicionConfirmations)
                .maxLocalHealth(maxLocalHealth)
                .retransmitFactor(retransmitFactor)
                .stateSyncIntervalUs(stateSyncIntervalUs)
                .tombstoneRetentionUs(tombstoneRetentionUs)
                .maxMembers(maxMembers)
                .gossipBudgetBytes(gossipBudgetBytes);
    }

    /** Throws InvalidSettingException for the first setting that is out of its bounds. */
    public void validate() {
        requireName("name", name);
        requireName("address", address);
        requireName("zone", zone);
        requireName("role", role);
        require(probePeriodUs >= 1_000, "probePeriodUs", probePeriodUs, "at least 1000");
        require(
                probeTimeoutUs > 0 && probeTimeoutUs < probePeriodUs,
                "probeTimeoutUs",
                probeTimeoutUs,
                "above 0 and under probePeriodUs");
        requireBetween(0, 100, "indirectProbes", indirectProbes);
        requireAtLeast(1, "suspicionPeriods", suspicionPeriods);
        requireAtLeast(1, "maxSuspicionFactor", maxSuspicionFactor);
        requireAtLeast(0, "suspicionConfirmations", suspicionConfirmations);
        requireBetween(0, 100, "maxLocalHealth", maxLocalHealth);
        requireBetween(1, 100, "retransmitFactor", retransmitFactor);
        require(
                stateSyncIntervalUs >= probePeriodUs,
                "stateSyncIntervalUs",
                stateSyncIntervalUs,
                "at least probePeriodUs");
        require(
                tombstoneRetentionUs >= stateSyncIntervalUs,
                "tombstoneRetentionUs",
                tombstoneRetentionUs,
                "at least stateSyncIntervalUs");
        requireAtLeast(2, "maxMembers", maxMembers);
        requireBetween(MIN_GOSSIP_BUDGET_BYTES, MAX_GOSSIP_BUDGET_BYTES, "gossipBudgetBytes", gossipBudgetBytes);
    }

    private static void requireName(String setting, String value) {
        if (!Member.isValidName(value)) {
            throw new InvalidSettingException(setting, value, Member.NAME_RULE);
        }
    }

    private static void requireAtLeast(int min, String setting, int value) {
        require(value >= min, setting, value, "at least " + min);
    }

    private static void requireBetween(int min, int max, String setting, int value) {
        require(value >= min && value <= max, setting, value, min + " to " + max);
    }

    private static void require(boolean holds, String setting, long value, String allowed) {
        if (!holds) {
            throw new InvalidSettingException(setting, value, allowed);
        }
    }
}
