package loadbalancer;

import loadbalancer.process.ProcessLifecycle;
import loadbalancer.simulator.SimulatorAdapter;

/** The entry point of the program. It runs in one of two modes: a node, or the adapter for a simulator. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /**
     * Runs the mode that the single argument names. With any other arguments, prints a usage line to standard error and
     * exits with code {@value #EXIT_USAGE}.
     */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "adapter" -> SimulatorAdapter.run();
            case "node" -> ProcessLifecycle.run(System.getenv());
            default -> {
                System.err.println("usage: java -jar load-balancer.jar adapter | node");
                System.exit(EXIT_USAGE);
            }
        }
    }
}
