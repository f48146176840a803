package loadbalancer;

import loadbalancer.process.ProcessLifecycle;

/** One program in two modes: a real node, or the adapter that hosts instances for the bench. */
public final class Main {
    private Main() {}

    /** Starts the mode that the one argument names. */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "adapter" -> loadbalancer.simulator.SimulatorAdapter.run();
            case "node" -> ProcessLifecycle.run(System.getenv());
            default -> {
                System.err.println("usage: java -jar load-balancer.jar adapter | node");
                System.exit(2);
            }
        }
    }
}
