package loadbalancer.membership.core;

/**
 * Something that a listener hears, in order.
 *
 * @param member as it is held from now on
 * @param version of this process's view, which grows with each change
 */
public record MembershipChange(Kind kind, Member member, long version) {

    /** What has happened. */
    public enum Kind {
        /** Seen for the first time, or again after its end. */
        JOINED,
        /** Lives on by other data: another address, zone, role or life. */
        UPDATED,
        SUSPECTED,
        /** A suspicion was contradicted. */
        CLEARED,
        DIED,
        LEFT,
        /** No longer remembered. */
        FORGOTTEN,
        /** Another process has this one's name and keeps it: this one gives way, and takes part no more. */
        GAVE_WAY,
        /** Another process has this one's name and gives way. */
        TAKEN_OVER,
        /** Turned away, as all places are taken. */
        TURNED_AWAY
    }
}
