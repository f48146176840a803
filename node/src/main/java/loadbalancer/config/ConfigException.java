package loadbalancer.config;

/** Thrown if the configuration of a node is missing or invalid. The message is one line, written for operators. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    private final String key;

    /**
     * @param key the dotted path of the key in the file, or the name of the environment variable
     * @param problem what is wrong, worded to follow the key; includes the value where there is one
     */
    public ConfigException(String key, String problem) {
        super(key + " " + problem);
        this.key = key;
    }

    /** Returns the dotted path of the key in the file, or the name of the environment variable. */
    public String key() {
        return key;
    }
}
