package loadbalancer.membership.core;

/** What is held of a member. At the same incarnation a later one here goes before an earlier one. */
public enum MemberState {
    /** It answers, or somebody whom it answered says so. */
    ALIVE,
    /** It has not answered, and has time to contradict. */
    SUSPECT,
    /** It has not contradicted in time. */
    DEAD,
    /** It has said itself that it goes. */
    LEFT;

    /** Whether it still takes part. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
