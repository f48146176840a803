package loadbalancer.membership.codec;

/** What a frame is. The ordinal is the number on the wire: new types go to the end. */
public enum FrameType {
    PING,
    ACK,
    PING_REQUEST,
    GOSSIP,
    NACK,
    /** All that a member holds, for a state sync. */
    STATE,
    /** Asks a member for its view. */
    VIEW_REQUEST,
    VIEW;

    private static final FrameType[] TYPES = values();

    byte number() {
        return (byte) ordinal();
    }

    /** The type of this number, or null if this version has none. */
    static FrameType ofNumber(byte number) {
        return number < 0 || number >= TYPES.length ? null : TYPES[number];
    }
}
