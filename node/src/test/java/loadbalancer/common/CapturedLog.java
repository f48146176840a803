package loadbalancer.common;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** What is logged while a piece of code of a test runs. */
public final class CapturedLog {
    /** A piece of code. */
    @FunctionalInterface
    public interface Code {
        void run() throws Exception;
    }

    private CapturedLog() {}

    /** Returns what is logged, by all threads, while the code runs. */
    public static String of(Code code) throws Exception {
        PrintStream err = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try {
            System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
            code.run();
        } finally {
            System.setErr(err);
        }
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Runs the code again until something is logged: other tests may have used up the lines of this second. */
    public static String await(Code code) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String log = of(code);
        while (log.isEmpty() && System.nanoTime() < end) {
            log = of(code);
        }
        return log;
    }
}
