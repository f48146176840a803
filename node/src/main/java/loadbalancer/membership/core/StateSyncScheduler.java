package loadbalancer.membership.core;

import java.util.List;

/**
 * Starts state syncs: at random intervals with a random live member, which repairs what gossip has missed, and with
 * all seeds while nobody else is live.
 */
final class StateSyncScheduler {
    /** While nobody else is live, seeds are tried so many probe periods apart, on average. */
    private static final int ALONE_PERIODS = 2;

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
            meanUs = ALONE_PERIODS * settings.probePeriodUs();
        } else {
            actions.startStateSync(live.get(random.nextInt(live.size())).address());
            meanUs = settings.stateSyncIntervalUs();
        }
        nextAtUs = nowUs + random.aroundMean(meanUs);
    }
}
