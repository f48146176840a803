package loadbalancer.membership.core;

/** A setting that is out of its bounds. The message names the setting, its value and what is allowed. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String setting;
    private final String value;
    private final String allowed;

    InvalidSettingException(String setting, Object value, String allowed) {
        super(setting + " = " + value + ": must be " + allowed);
        this.setting = setting;
        this.value = String.valueOf(value);
        this.allowed = allowed;
    }

    /** The component of {@link MembershipSettings}. */
    public String setting() {
        return setting;
    }

    public String value() {
        return value;
    }

    /** The bounds in words; other settings are named by their components. */
    public String allowed() {
        return allowed;
    }
}
