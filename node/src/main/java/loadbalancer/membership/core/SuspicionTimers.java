package loadbalancer.membership.core;

import java.util.List;

/** Starts suspicion timeouts and finds the suspected members whose timeouts have expired. */
final class SuspicionTimers {
    private final MembershipSettings settings;
    private final MemberTable table;

    SuspicionTimers(MembershipSettings settings, MemberTable table) {
        this.settings = settings;
        this.table = table;
    }

    /** Starts the timeout of a member that has just become suspected. */
    void start(long nowUs, MemberEntry entry, String reporter) {
        double sizeFactor = Math.max(1, Math.log10(table.liveCount() + 1));
        long minTimeoutUs = (long) (settings.suspicionPeriods() * sizeFactor * settings.probePeriodUs());
        // In a small fleet fewer members can confirm. Requiring more confirmations than can arrive would keep every
        // dead member for the longest timeout.
        int confirmations = Math.max(0, Math.min(settings.suspicionConfirmations(), table.liveCount() - 2));
        long maxTimeoutUs = confirmations == 0 ? minTimeoutUs : settings.maxSuspicionFactor() * minTimeoutUs;
        table.suspect(entry, new Suspicion(nowUs, minTimeoutUs, maxTimeoutUs, confirmations, reporter));
    }

    /** Extends all suspicion timeouts. */
    void postpone(long us) {
        table.suspected().forEach(entry -> entry.suspicion().postpone(us));
    }

    long nextUs() {
        return table.nextSuspicionEndUs();
    }

    /** Members that have not refuted in time, in the order in which their suspicions started. */
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
