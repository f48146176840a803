package loadbalancer.membership.core;

/**
 * Notification of a change. Notifications are delivered in order.
 *
 * @param member new record of the member; the dropped record for FORGOTTEN, the rejected record for REJECTED, and the
 *     record of the other process for NAME_YIELDED and NAME_TAKEN_OVER
 * @param version version of this process's view, which increases with each notification
 */
public record MembershipChange(Type type, Member member, long version) {

    /** Type of a change. */
    public enum Type {
        /** The member is live, and was unknown, dead or left before. */
        JOINED,
        /** The member remains live, with a different address, zone, role or generation. */
        UPDATED,
        SUSPECTED,
        /** The member has refuted a suspicion. */
        REFUTED,
        /** The member is dead: its suspicion timeout ended, here or at another member. */
        FAILED,
        LEFT,
        /** The tombstone of a dead or left member has been dropped. */
        FORGOTTEN,
        /** Another process has the name of this process and keeps it. This process no longer participates. */
        NAME_YIELDED,
        /** Another process has the name of this process and has to yield it. */
        NAME_TAKEN_OVER,
        /** The member was not added, because the member table is full. */
        REJECTED
    }
}
