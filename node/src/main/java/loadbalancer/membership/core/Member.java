package loadbalancer.membership.core;

/**
 * Record of a member in some process's view.
 *
 * @param name stable across restarts
 * @param address address at which other members reach the member, in the format of the protocol's driver
 * @param zone zone in which the member runs
 * @param role function of the member in the fleet
 */
public record Member(
        String name, String address, String zone, String role, Incarnation incarnation, MemberState state) {
    /** Limit for name, address, zone and role, in characters: a datagram has to hold several members. */
    private static final int MAX_NAME_LENGTH = 64;
    /** Describes what {@link #isValidName} accepts, for error messages. */
    public static final String NAME_RULE = "1 to " + MAX_NAME_LENGTH + " characters of ASCII without spaces";

    /** Whether the text is valid as a name, address, zone or role. */
    public static boolean isValidName(String text) {
        return text != null
                && !text.isEmpty()
                && text.length() <= MAX_NAME_LENGTH
                && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    public Member withState(MemberState other) {
        return new Member(name, address, zone, role, incarnation, other);
    }

    /** Returns this record as alive in the given incarnation. */
    Member aliveIn(Incarnation other) {
        return new Member(name, address, zone, role, other, MemberState.ALIVE);
    }

    /** Whether both records have the same address, zone and role. */
    boolean hasSameAttributes(Member other) {
        return address.equals(other.address) && zone.equals(other.zone) && role.equals(other.role);
    }

    /**
     * Whether this record replaces another record of the same name: the higher incarnation wins, then the later state
     * in {@link MemberState}, then the greater address.
     */
    boolean supersedes(Member other) {
        int byIncarnation = incarnation.compareTo(other.incarnation);
        if (byIncarnation != 0) {
            return byIncarnation > 0;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        // Two processes may start with the same name within one microsecond. All members must choose the same one, or
        // views never converge.
        return address.compareTo(other.address) > 0;
    }
}
