package loadbalancer.membership.core;

import java.util.List;

/**
 * Starts state syncs at random intervals: with a random live member, to deliver updates that gossip has missed, or with
 * all seeds while no other member is live.
 */
final class StateSyncScheduler {
    /** Mean interval between contacts of the seeds, in probe periods, while no other member is live. */
    private static final int SEED_RETRY_PERIODS = 2;

    private final MembershipSettings settings;
    private final MembershipActions actions;
    private final ProtocolRandom random;
    private final MemberTable table;
    private long nextAtUs = Long.MAX_VALUE;

    StateSyncScheduler(
            MembershipSettings settings, MembershipActions actions, ProtocolRandom random, MemberTable table) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.table = table;
    }

    void start(long nowUs) {
        nextAtUs = nowUs;
    }

    long nextUs() {
        return nextAtUs;
    }

    void onTime(long nowUs) {
        if (nowUs < nextAtUs) {
            return;
        }
        List<Member> live = table.liveMembers();
        long meanUs;
        if (live.isEmpty()) {
            settings.seeds().stream()
                    .filter(seed -> !seed.equals(settings.address()))
                    .forEach(actions::startStateSync);
            meanUs = SEED_RETRY_PERIODS * settings.probePeriodUs();
        } else {
            actions.startStateSync(live.get(random.nextInt(live.size())).address());
            meanUs = settings.stateSyncIntervalUs();
        }
        nextAtUs = nowUs + random.aroundMean(meanUs);
    }
}
