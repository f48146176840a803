package loadbalancer.membership.core;

import java.util.List;

/**
 * Contacts a random dead member, or a seed whose address no record has, about once per probe period. Guards against a
 * partition that persists after the network has recovered: both halves consider each other dead, and the failure
 * detector does not probe dead members. Dead members are contacted until their tombstones are dropped, seeds
 * indefinitely.
 */
final class PartitionRepair {
    private final MembershipSettings settings;
    private final MembershipActions actions;
    private final ProtocolRandom random;
    private final MemberTable table;
    private final PingSender pings;
    private long nextAtUs = Long.MAX_VALUE;

    PartitionRepair(
            MembershipSettings settings,
            MembershipActions actions,
            ProtocolRandom random,
            MemberTable table,
            PingSender pings) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.table = table;
        this.pings = pings;
    }

    void start(long nowUs) {
        nextAtUs = nowUs + settings.probePeriodUs();
    }

    long nextUs() {
        return nextAtUs;
    }

    void onTime(long nowUs) {
        if (nowUs < nextAtUs) {
            return;
        }
        nextAtUs = nowUs + random.aroundMean(settings.probePeriodUs());
        List<Member> dead = table.members()
                .filter(member -> member.state() == MemberState.DEAD)
                .toList();
        List<String> seeds = missingSeeds();
        int candidates = dead.size() + seeds.size();
        if (candidates == 0) {
            return;
        }
        int choice = random.nextInt(candidates);
        if (choice < dead.size()) {
            pings.ping(dead.get(choice));
        } else if (table.liveCount() > 0) {
            // While no other member is live, the state sync scheduler contacts the seeds.
            actions.startStateSync(seeds.get(choice - dead.size()));
        }
    }

    private List<String> missingSeeds() {
        return settings.seeds().stream()
                .filter(seed -> !seed.equals(settings.address()))
                .filter(seed ->
                        table.members().noneMatch(member -> member.address().equals(seed)))
                .toList();
    }
}
