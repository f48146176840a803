package loadbalancer.simulator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Runs the balancers of simulated nodes behind the simulator's wire on standard input and output. */
public final class SimulatorAdapter {
    private static final int EXIT_MALFORMED_INPUT = 2;

    private SimulatorAdapter() {}

    /** Runs until the input ends; malformed input ends the process with one line on standard error and exit code 2. */
    public static void run() {
        try {
            new SimulatorConnection(System.in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireException | IOException e) {
            System.err.println("load-balancer: " + e.getMessage());
            System.exit(EXIT_MALFORMED_INPUT);
        }
    }
}
