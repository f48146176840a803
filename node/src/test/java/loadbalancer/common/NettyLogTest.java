package loadbalancer.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What Netty logs, in the node's log. */
class NettyLogTest {
    private static String logOf(Runnable writer) {
        PrintStream err = System.err;
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try {
            System.setErr(new PrintStream(log, true, StandardCharsets.UTF_8));
            writer.run();
        } finally {
            System.setErr(err);
        }
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Writes again until there is a line: other tests may have used up the lines of this second. */
    private static String awaitLog(Runnable writer) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        String log = logOf(writer);
        while (log.isEmpty() && System.nanoTime() < end) {
            log = logOf(writer);
        }
        return log;
    }

    @Test
    void warningsAndErrorsOfNettyAreEventsOfTheLog() {
        InternalLoggerFactory before = InternalLoggerFactory.getDefaultFactory();
        NettyLog.install();
        try {
            InternalLogger logger = InternalLoggerFactory.getInstance("io.netty.Some");
            assertEquals(
                    "level=warn event=netty_warning logger=io.netty.Some message=\"one 1 and 2\"\n",
                    awaitLog(() -> logger.warn("one {} and {}", 1, 2)));
            String error = awaitLog(() -> logger.error("broken: {}", "x", new IOException("gone")));
            assertTrue(
                    error.startsWith("level=error event=netty_error logger=io.netty.Some message=\"broken: x\""
                            + " cause=\"java.io.IOException: gone\"\n    at "),
                    error);
            assertEquals("", logOf(() -> logger.info("all is well")));
        } finally {
            InternalLoggerFactory.setDefaultFactory(before);
        }
    }
}
