package loadbalancer.membership.core;

/**
 * A member as some process holds it.
 *
 * @param name the same after a restart
 * @param address where others reach it, in the form that the driver of the protocol uses
 * @param zone where it runs
 * @param role what it does
 */
public record Member(
        String name, String address, String zone, String role, Incarnation incarnation, MemberState state) {
    /** Longest name, address, zone or role: a datagram has to hold several members. */
    private static final int MAX_NAME_LENGTH = 64;
    /** What {@link #isValidName} allows, in words. */
    public static final String NAME_RULE = "1 to " + MAX_NAME_LENGTH + " characters of ASCII without spaces";

    /** Whether this may be a name, address, zone or role. */
    public static boolean isValidName(String text) {
        return text != null
                && !text.isEmpty()
                && text.length() <= MAX_NAME_LENGTH
                && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    public Member withState(MemberState other) {
        return new Member(name, address, zone, role, incarnation, other);
    }

    /** The same, alive in another incarnation. */
    Member aliveIn(Incarnation other) {
        return new Member(name, address, zone, role, other, MemberState.ALIVE);
    }

    /** Whether address, zone and role are the same. */
    boolean hasSameAttributes(Member other) {
        return address.equals(other.address) && zone.equals(other.zone) && role.equals(other.role);
    }

    /** Whether this is to be held in place of the other record of the same name. */
    boolean supersedes(Member other) {
        int byIncarnation = incarnation.compareTo(other.incarnation);
        if (byIncarnation != 0) {
            return byIncarnation > 0;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        // Two processes may take one name within the same microsecond. All have to choose alike, or views never agree.
        return address.compareTo(other.address) > 0;
    }
}
