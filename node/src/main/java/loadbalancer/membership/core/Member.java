package loadbalancer.membership.core;

/**
 * A member as somebody holds it.
 *
 * @param name the same after a restart
 * @param address where it is spoken to, as its driver writes addresses
 * @param zone where it is
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

    /** The same in another state. */
    public Member in(MemberState other) {
        return new Member(name, address, zone, role, incarnation, other);
    }

    Member with(Incarnation other, MemberState otherState) {
        return new Member(name, address, zone, role, other, otherState);
    }

    /** Whether this says more than the other about the same name. */
    boolean overrides(Member other) {
        int byIncarnation = incarnation.compareTo(other.incarnation);
        if (byIncarnation != 0) {
            return byIncarnation > 0;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        // Two processes that took one name within the same microsecond: all have to choose alike.
        return address.compareTo(other.address) > 0;
    }
}
