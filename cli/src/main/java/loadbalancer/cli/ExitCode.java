package loadbalancer.cli;

/** Exit codes of the commands. */
final class ExitCode {
    /** The command succeeded, and every check passed. */
    static final int OK = 0;
    /** The command ran, but a check failed: a rule was violated, or views differ. */
    static final int CHECK_FAILED = 1;
    /** The command line or a file is invalid. */
    static final int USAGE = 2;
    /** The command failed before it had a result, for example because a process did not respond. */
    static final int FAILED = 3;

    static final String HELP = "%nExit codes: 0 no rule was violated; 1 a rule was violated; 2 the command line or the"
            + " scenario is invalid; 3 the run failed.%n";

    private ExitCode() {}
}
