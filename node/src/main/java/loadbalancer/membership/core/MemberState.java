package loadbalancer.membership.core;

/**
 * State of a member in some process's view. In the same incarnation a later constant supersedes an earlier one. The
 * ordinal is the number on the wire. {@link MemberTransition} lists the transitions.
 */
public enum MemberState {
    /** Reported as alive by itself or by another member. */
    ALIVE,
    /** Has not acknowledged a probe, or is dead at a state sync peer. Can refute until the suspicion timeout ends. */
    SUSPECT,
    /** Has not refuted the suspicion before its timeout ended. */
    DEAD,
    /** Has announced its leave. */
    LEFT;

    /** Whether the member participates: it is alive or suspected. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
