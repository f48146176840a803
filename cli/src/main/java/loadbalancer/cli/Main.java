package loadbalancer.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command for operators and developers; the node has a program of its own, which starts without any of
 * this.
 */
@Command(
        name = "lb",
        mixinStandardHelpOptions = true,
        version = "lb 0.1.0",
        description = "Keeps fleets of load balancer nodes running, and proves that it does.",
        subcommands = {Fleet.class, CommandLine.HelpCommand.class})
public final class Main {
    private Main() {}

    /** Runs one command; the exit code is documented with each. */
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
