package loadbalancer.membership.core;

import java.util.List;

/**
 * Settings of the membership protocol for one process. {@code docs/membership.md} derives each default from the probe
 * period and the number of members.
 *
 * @param name this member's name, stable across restarts
 * @param address address at which other members reach this member
 * @param zone zone in which this member runs
 * @param role function of this member in the fleet
 * @param probePeriodUs probe period: one member is probed per period
 * @param probeTimeoutUs time without an ack after which indirect pings follow a ping
 * @param indirectProbes number of members that are asked for an indirect ping; also the number of members that receive
 *     a gossip message in each round
 * @param suspicionPeriods shortest suspicion timeout, in probe periods times the larger of 1 and log10 of the number of
 *     live members
 * @param maxSuspicionFactor longest suspicion timeout, as a multiple of the shortest one; applies while no other member
 *     has confirmed the suspicion
 * @param suspicionConfirmations number of confirmations that reduces the suspicion timeout to the shortest one; fewer
 *     are required in a small fleet
 * @param maxLocalHealth highest local health score; probe period and timeout are multiplied by up to 1 + this value; 0
 *     disables local health
 * @param retransmitFactor how often each gossip update is sent at most, per binary digit of the number of live members
 * @param stateSyncIntervalUs mean time between state syncs with a random live member
 * @param tombstoneRetentionUs how long a dead or left member is remembered
 * @param maxMembers limit of remembered names, including this process and tombstones; at the limit a new live member
 *     replaces the oldest tombstone, and any other new name is rejected
 * @param gossipBudgetBytes bytes for gossip updates in one datagram
 * @param seeds addresses that are all contacted while no other member is live, as at the start; afterwards a seed is
 *     still contacted, without end, while no record, live or tombstone, has its address
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
    /** A datagram of 1,400 bytes minus the maximum size of all its other content. */
    public static final int MAX_GOSSIP_BUDGET_BYTES = 880;

    /** An update with the longest names takes 368 bytes and has to fit. */
    private static final int MIN_GOSSIP_BUDGET_BYTES = 400;

    /** Settings of this member with defaults for everything else. */
    public static MembershipSettings of(String name, String address, String zone, String role, List<String> seeds) {
        return builder(name, address, zone, role, seeds).build();
    }

    /** Returns a builder for this member, initialized with the defaults. */
    public static MembershipSettingsBuilder builder(
            String name, String address, String zone, String role, List<String> seeds) {
        return new MembershipSettingsBuilder(name, address, zone, role, seeds);
    }

    /** Returns a builder initialized with these settings. */
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

    /** Throws InvalidSettingException for the first setting that is out of bounds. */
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
