package loadbalancer.membership.core;

/** Record of this process as a member. Disseminates each new incarnation. */
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

    /** Returns an update about this process, reported by itself. */
    GossipUpdate asUpdate() {
        return new GossipUpdate(self, self.name());
    }

    /** Disseminates the current record of this process. */
    void announce() {
        broadcasts.add(asUpdate());
    }

    /** Becomes alive in the given incarnation and disseminates it, so that it supersedes the records of others. */
    void continueIn(Incarnation next) {
        self = self.aliveIn(next);
        announce();
        notifier.onSelfChanged();
    }

    void markLeft() {
        self = self.withState(MemberState.LEFT);
    }
}
