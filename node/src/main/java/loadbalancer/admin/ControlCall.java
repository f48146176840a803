package loadbalancer.admin;

/**
 * An operator's call, parsed from one line.
 *
 * @param type the type of the call
 * @param serverId the id of the server to cordon or uncordon; null for other types
 */
record ControlCall(Type type, String serverId) {
    /** The types of calls, with their names on the wire. */
    enum Type {
        HEALTH("health", false),
        METRICS("counters", false),
        CORDON("cordon", true),
        UNCORDON("uncordon", true);

        private final String wireName;
        private final boolean takesServerId;

        Type(String wireName, boolean takesServerId) {
            this.wireName = wireName;
            this.takesServerId = takesServerId;
        }

        private static Type of(String wireName) throws RejectedCallException {
            for (Type type : values()) {
                if (type.wireName.equals(wireName)) {
                    return type;
                }
            }
            throw new RejectedCallException("unknown call");
        }

        String wireName() {
            return wireName;
        }
    }

    /**
     * Parses a line without its line break: the name of the call and, if the call takes one, a server id, separated by
     * white space.
     *
     * @throws RejectedCallException if the line is not a valid call
     */
    static ControlCall parse(String line) throws RejectedCallException {
        String[] words = line.strip().split("\\s+");
        Type type = Type.of(words[0]);
        if (type.takesServerId) {
            if (words.length != 2) {
                throw new RejectedCallException(type.wireName + " takes one id");
            }
            return new ControlCall(type, words[1]);
        }
        if (words.length != 1) {
            throw new RejectedCallException(type.wireName + " takes no word more");
        }
        return new ControlCall(type, null);
    }
}
