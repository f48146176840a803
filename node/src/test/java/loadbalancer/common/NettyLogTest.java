package loadbalancer.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** What Netty logs, in the node's log. */
class NettyLogTest {
    @Test
    void warningsAndErrorsOfNettyAreEventsOfTheLog() throws Exception {
        InternalLoggerFactory before = InternalLoggerFactory.getDefaultFactory();
        NettyLog.install();
        try {
            InternalLogger logger = InternalLoggerFactory.getInstance("io.netty.Some");
            assertEquals(
                    "level=warn event=netty_warning logger=io.netty.Some message=\"one 1 and 2\"\n",
                    CapturedLog.await(() -> logger.warn("one {} and {}", 1, 2)));
            String error = CapturedLog.await(() -> logger.error("broken: {}", "x", new IOException("gone")));
            assertTrue(
                    error.startsWith("level=error event=netty_error logger=io.netty.Some message=\"broken: x\""
                            + " cause=\"java.io.IOException: gone\"\n    at "),
                    error);
            assertEquals("", CapturedLog.of(() -> logger.info("all is well")));
        } finally {
            InternalLoggerFactory.setDefaultFactory(before);
        }
    }
}
