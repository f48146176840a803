package loadbalancer.membership;

/** Thrown for an invalid object {@code fleet}. The message names the key, its value and the allowed values. */
public final class MembershipConfigException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private MembershipConfigException(String message, Throwable cause) {
        super(message, cause);
    }

    static MembershipConfigException notAnObject(Object value) {
        return new MembershipConfigException("fleet = " + value + ": must be an object", null);
    }

    static MembershipConfigException missing(String key) {
        return new MembershipConfigException("fleet." + key + " is missing", null);
    }

    static MembershipConfigException unknown(String key, Object value, Iterable<String> knownKeys) {
        return new MembershipConfigException(
                "fleet." + key + " = " + value + ": is not known; keys here are " + String.join(", ", knownKeys), null);
    }

    static MembershipConfigException invalid(String key, Object value, String allowed) {
        return invalid(key, value, allowed, null);
    }

    static MembershipConfigException invalid(String key, Object value, String allowed, Throwable cause) {
        return new MembershipConfigException("fleet." + key + " = " + value + ": must be " + allowed, cause);
    }
}
