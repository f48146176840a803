package loadbalancer.membership.core;

/**
 * A notification of the listener; they come in order.
 *
 * @param member as it is held from now on
 * @param version of this process's view, which grows with each change
 */
public record MembershipChange(Type type, Member member, long version) {

    /** What has happened. */
    public enum Type {
        /** Seen for the first time, or again after it was dead or had left. */
        JOINED,
        /** Still live, with another address, zone, role or generation. */
        UPDATED,
        SUSPECTED,
        /** The member has refuted a suspicion. */
        REFUTED,
        /** The suspicion timeout of the member is over: it is dead. */
        FAILED,
        LEFT,
        /** The tombstone of a dead or left member has been dropped. */
        FORGOTTEN,
        /** Another process has this one's name and keeps it: this one takes part no more. */
        NAME_YIELDED,
        /** Another process has this one's name and has to yield it. */
        NAME_TAKEN_OVER,
        /** Not admitted, as all places are taken. */
        REJECTED
    }
}
