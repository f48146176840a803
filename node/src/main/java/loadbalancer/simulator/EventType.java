package loadbalancer.simulator;

/** The kinds of events on the wire, by the name of their line; the most frequent ones come first. */
enum EventType {
    ATTEMPT_ENDED("resolved"),
    REQUEST("work_item"),
    WAKE("bell"),
    ENDPOINT_LIST("topology"),
    CLIENT_GONE("client_gone"),
    FIRST_BYTE("first_byte"),
    PROBE_ENDED("echo"),
    ROSTER("roster"),
    NOTE("memo"),
    BOOT("boot"),
    SHUTDOWN("shutdown"),
    /** A line with any other name. */
    UNKNOWN("");

    private static final EventType[] VALUES = values();

    private final String wireName;

    EventType(String wireName) {
        this.wireName = wireName;
    }

    /** The type of the event on this line. */
    static EventType of(WireLineReader line) {
        for (EventType type : VALUES) {
            if (line.isNamed(type.wireName)) {
                return type;
            }
        }
        return UNKNOWN;
    }
}
