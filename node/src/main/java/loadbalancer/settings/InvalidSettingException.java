package loadbalancer.settings;

/** Thrown if a setting is missing or has an invalid value. */
public final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1;

    private final String setting;
    private final String problem;

    InvalidSettingException(String setting, String problem) {
        super(setting + " " + problem);
        this.setting = setting;
        this.problem = problem;
    }

    /** Returns the dotted name of the setting, for example {@code classes.0.repeat}. */
    public String setting() {
        return setting;
    }

    /** Returns what is wrong with the setting, worded to follow its name; includes the value where there is one. */
    public String problem() {
        return problem;
    }
}
