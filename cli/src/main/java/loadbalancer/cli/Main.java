package loadbalancer.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Entry point of the command {@code lb} for operators and developers. The node has its own entry point and does not
 * load these classes.
 */
@Command(
        name = "lb",
        mixinStandardHelpOptions = true,
        version = "lb 0.1.0",
        description = "Runs, tests and inspects fleets of load balancer nodes.",
        subcommands = {Fleet.class, CommandLine.HelpCommand.class})
public final class Main {
    private Main() {}

    /** Runs one command and exits with its exit code, which the help text of the command documents. */
    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        return new CommandLine(new Main()).setExecutionExceptionHandler((e, command, parsed) -> {
            if (e instanceof UsageException) {
                command.getErr().println("lb: " + e.getMessage());
                return ExitCode.USAGE;
            }
            command.getErr().println("lb: " + e);
            for (Throwable cause = e; cause != null; cause = cause.getCause()) {
                for (StackTraceElement at : cause.getStackTrace()) {
                    command.getErr().println("    at " + at);
                }
            }
            return ExitCode.FAILED;
        });
    }
}
