package loadbalancer.simulator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Connects the balancers of simulated nodes to the simulator through standard input and output. */
public final class SimulatorAdapter {
    private static final int EXIT_MALFORMED_INPUT = 2;

    private SimulatorAdapter() {}

    /**
     * Runs until the input ends. If the input is malformed or an I/O error occurs, writes one line to standard error
     * and ends the process with exit code 2.
     */
    public static void run() {
        try {
            new SimulatorConnection(System.in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException | IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
            System.exit(EXIT_MALFORMED_INPUT);
        }
    }
}
