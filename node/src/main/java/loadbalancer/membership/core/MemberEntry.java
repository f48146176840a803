package loadbalancer.membership.core;

/** What a process holds of one other member. Only {@link MemberTable} changes it. */
final class MemberEntry {
    private Member member;
    private Suspicion suspicion;
    private long updatedAtUs;

    MemberEntry(Member member, long nowUs) {
        update(member, nowUs);
    }

    /** Holds this from now on. A suspicion of what was held before ends. */
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

    /** Null while it is not suspected. */
    Suspicion suspicion() {
        return suspicion;
    }

    /** For a dead or left member: since when it is held for that. */
    long updatedAtUs() {
        return updatedAtUs;
    }
}
