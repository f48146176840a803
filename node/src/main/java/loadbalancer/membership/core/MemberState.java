package loadbalancer.membership.core;

/**
 * What a process holds of a member. At the same incarnation a later constant supersedes an earlier one, and the
 * ordinal is the number on the wire. {@link MemberTransition} says what follows from a change.
 */
public enum MemberState {
    /** It has acknowledged a ping, or another member says so. */
    ALIVE,
    /** It has not acknowledged a ping, and has until the suspicion timeout to refute that. */
    SUSPECT,
    /** It has not refuted the suspicion in time. */
    DEAD,
    /** It has announced that it leaves. */
    LEFT;

    /** Whether it still takes part. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
