package loadbalancer.simulator;

/** The types of events on the wire, with their names there. Lookup is linear, so the most frequent ones come first. */
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
    /** An event with an unknown name. */
    UNKNOWN("");

    private static final EventType[] VALUES = values();

    private final String wireName;

    EventType(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the type of the event on the current line. */
    static EventType of(WireLineReader reader) {
        for (EventType type : VALUES) {
            if (reader.isNamed(type.wireName)) {
                return type;
            }
        }
        return UNKNOWN;
    }
}
