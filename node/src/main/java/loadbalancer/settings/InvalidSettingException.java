package loadbalancer.settings;

/** A setting is missing or has a value that is not allowed. */
public final class InvalidSettingException extends Exception {
    private static final long serialVersionUID = 1;

    private final String setting;
    private final String problem;

    InvalidSettingException(String setting, String problem) {
        super(setting + " " + problem);
        this.setting = setting;
        this.problem = problem;
    }

    /** The dotted name of the setting, for example {@code classes.0.repeat}. */
    public String setting() {
        return setting;
    }

    /** What is wrong with the setting, to be written behind its name; holds the value where there is one. */
    public String problem() {
        return problem;
    }
}
