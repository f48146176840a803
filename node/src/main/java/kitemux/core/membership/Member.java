package kitemux.core.membership;

/**
 * A member as somebody holds it.
 *
 * @param name the same after a restart; at most {@link #MOST_NAME} characters
 * @param address where it is spoken to, as its driver writes addresses
 * @param zone where it is
 * @param role what it does
 */
public record Member(String name, String address, String zone, String role, Incarnation incarnation,
        State state) {
    /** Longest name, address, zone or role: a datagram has to hold several members. */
    public static final int MOST_NAME = 64;

    Member in(State other) {
        return new Member(name, address, zone, role, incarnation, other);
    }

    Member with(Incarnation other, State otherState) {
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
