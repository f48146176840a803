package loadbalancer.config;

/** The configuration is missing or bad; the message is one line that names the field. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    public ConfigException(String field, String reason) {
        super(field + " " + reason);
    }
}
