package loadbalancer;

import loadbalancer.process.ProcessLifecycle;
import loadbalancer.simulator.SimulatorAdapter;

/** The entry point of the program, which runs in one of two modes: a node, or the adapter for a simulator. */
public final class Main {
    private static final int EXIT_USAGE = 2;

    private Main() {}

    /** Runs the mode that the only argument names; any other arguments end it with a usage line and exit code 2. */
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
