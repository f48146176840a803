package loadbalancer.membership.core;

import java.util.List;

/** Suspicion timeouts: how long each suspected member has to refute, and whose time is over. */
final class SuspicionTimers {
    private final MembershipSettings settings;
    private final MemberTable table;

    SuspicionTimers(MembershipSettings settings, MemberTable table) {
        this.settings = settings;
        this.table = table;
    }

    /** Starts the timeout of a member that has just come under suspicion. */
    void start(long nowUs, MemberEntry entry, String reporter) {
        double sizeFactor = Math.max(1, Math.log10(table.liveCount() + 1));
        long minTimeoutUs = (long) (settings.suspicionPeriods() * sizeFactor * settings.probePeriodUs());
        // In a small fleet fewer others are there to confirm. Waiting for more would keep a dead member for the
        // longest timeout each time.
        int confirmations = Math.max(0, Math.min(settings.suspicionConfirmations(), table.liveCount() - 2));
        long maxTimeoutUs = confirmations == 0 ? minTimeoutUs : settings.maxSuspicionFactor() * minTimeoutUs;
        table.suspect(entry, new Suspicion(nowUs, minTimeoutUs, maxTimeoutUs, confirmations, reporter));
    }

    /** Gives all suspected members more time. */
    void postpone(long us) {
        table.suspected().forEach(entry -> entry.suspicion().postpone(us));
    }

    long nextUs() {
        return table.nextSuspicionEndUs();
    }

    /** Members that have not refuted in time, in the order in which they came under suspicion. */
    List<Member> expired(long nowUs) {
        if (nextUs() > nowUs) {
            return List.of();
        }
        return table.suspected().stream()
                .filter(entry -> entry.suspicion().endsAtUs() <= nowUs)
                .map(MemberEntry::member)
                .toList();
    }
}
