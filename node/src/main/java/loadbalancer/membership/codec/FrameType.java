package loadbalancer.membership.codec;

/** Type of a frame. The ordinal is the number on the wire, so new types must be added at the end. */
public enum FrameType {
    PING,
    ACK,
    PING_REQUEST,
    GOSSIP,
    NACK,
    /** Full state of a member, for a state sync. */
    STATE,
    /** Requests the view of a member. */
    VIEW_REQUEST,
    VIEW;

    private static final FrameType[] TYPES = values();

    byte number() {
        return (byte) ordinal();
    }

    /** Returns the type of this number, or null if this version does not know it. */
    static FrameType ofNumber(byte number) {
        return number < 0 || number >= TYPES.length ? null : TYPES[number];
    }
}
