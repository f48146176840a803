package loadbalancer.membership.core;

/** Thrown for a setting that is out of bounds. The message names the setting, its value and the allowed values. */
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

    /** Name of the component of {@link MembershipSettings}. */
    public String setting() {
        return setting;
    }

    public String value() {
        return value;
    }

    /** Text that describes the allowed values. Refers to other settings by the names of their components. */
    public String allowed() {
        return allowed;
    }
}
