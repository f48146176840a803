package loadbalancer.cli;

/** How a command ended. */
final class ExitCode {
    /** All went as it should. */
    static final int OK = 0;
    /** A rule was broken, or views differ: what was asked was answered with no. */
    static final int BROKEN = 1;
    /** The command line or a file cannot be used. */
    static final int USAGE = 2;
    /** The command itself failed. */
    static final int FAILED = 3;

    static final String HELP = "%nExit codes: 0 all rules kept; 1 a rule was broken; 2 a bad command line or"
            + " scenario; 3 the run itself failed.%n";

    private ExitCode() {}
}
