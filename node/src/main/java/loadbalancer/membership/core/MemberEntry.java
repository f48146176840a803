package loadbalancer.membership.core;

/** Entry of the member table for one other member. Modified only by {@link MemberTable}. */
final class MemberEntry {
    private Member member;
    private Suspicion suspicion;
    private long updatedAtUs;

    MemberEntry(Member member, long nowUs) {
        update(member, nowUs);
    }

    /** Replaces the record, and ends a suspicion of the previous record. */
    void update(Member newer, long nowUs) {
        member = newer;
        suspicion = null;
        updatedAtUs = nowUs;
    }

    void suspect(Suspicion started) {
        suspicion = started;
    }

    Member member() {
        return member;
    }

    boolean isLive() {
        return member.state().isLive();
    }

    /** Null while the member is not suspected. */
    Suspicion suspicion() {
        return suspicion;
    }

    /** Time at which the record was last replaced. The retention of a tombstone starts here. */
    long updatedAtUs() {
        return updatedAtUs;
    }
}
