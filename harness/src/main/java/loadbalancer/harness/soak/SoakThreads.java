package loadbalancer.harness.soak;

import java.io.IOException;

/** Starts the threads of a soak. They block on sockets, and end with an exception when these are closed. */
final class SoakThreads {
    private static final int STACK_BYTES = 256 << 10;

    /** What a thread does. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private SoakThreads() {}

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The peer has ended the connection, or the soak is over.
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                name,
                STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
