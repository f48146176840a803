package loadbalancer.admin;

/**
 * An operator's call.
 *
 * @param type what is called for
 * @param serverId the server that it concerns; null if the type takes none
 */
record ControlCall(Type type, String serverId) {
    /** What can be called for. */
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
     * Parses a line without its end: a name, and the id of a server where the call takes one, with white space between.
     *
     * @throws RejectedCallException if the line is no call
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
