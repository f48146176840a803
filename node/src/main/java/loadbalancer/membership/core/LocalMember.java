package loadbalancer.membership.core;

/** This process as a member. Each new incarnation is disseminated. */
final class LocalMember {
    private final BroadcastQueue broadcasts;
    private final ChangeNotifier notifier;
    private Member self;

    LocalMember(MembershipSettings settings, long startedAtUs, BroadcastQueue broadcasts, ChangeNotifier notifier) {
        this.broadcasts = broadcasts;
        this.notifier = notifier;
        self = new Member(
                settings.name(),
                settings.address(),
                settings.zone(),
                settings.role(),
                new Incarnation(startedAtUs, 0),
                MemberState.ALIVE);
    }

    Member self() {
        return self;
    }

    /** An update about this process, reported by itself. */
    GossipUpdate asUpdate() {
        return new GossipUpdate(self, self.name());
    }

    /** Disseminates that this process takes part. */
    void announce() {
        broadcasts.add(asUpdate());
    }

    /** Alive in this incarnation from now on, which supersedes what others hold. */
    void continueIn(Incarnation next) {
        self = self.aliveIn(next);
        announce();
        notifier.onSelfChanged();
    }

    void markLeft() {
        self = self.withState(MemberState.LEFT);
    }
}
