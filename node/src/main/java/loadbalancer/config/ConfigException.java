package loadbalancer.config;

/** The configuration of a node is missing or invalid. The message is one line, which operators read. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    private final String key;

    /**
     * @param key the key of the file, by its dotted path, or the environment variable
     * @param problem what is wrong with it, to be written behind the key; holds the value where there is one
     */
    public ConfigException(String key, String problem) {
        super(key + " " + problem);
        this.key = key;
    }

    /** The key of the file, by its dotted path, or the environment variable. */
    public String key() {
        return key;
    }
}
