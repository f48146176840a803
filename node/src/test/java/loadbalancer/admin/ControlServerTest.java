package loadbalancer.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.MeasuredEventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The responses to operators' calls, byte for byte, from a server with a fake node. */
class ControlServerTest {
    private static final long DELAY_MILLIS = 150;

    /** Records the calls to cordon and uncordon servers. */
    private static final class FakeNode implements NodeOperations {
        private final List<String> calls = new CopyOnWriteArrayList<>();
        private volatile boolean serving = true;

        @Override
        public boolean isServing() {
            return serving;
        }

        @Override
        public String metrics() {
            return "node_loads 1\n";
        }

        @Override
        public long setCordoned(String serverId, boolean cordoned) throws RejectedCallException {
            calls.add(serverId + " " + cordoned);
            if (serverId.equals("none")) {
                throw new RejectedCallException("never listed: none");
            }
            if (serverId.equals("broken")) {
                throw new IllegalStateException("thrown by a test");
            }
            if (serverId.equals("unloadable")) {
                throw new NoClassDefFoundError("thrown by a test");
            }
            return serverId.equals("slow") ? DELAY_MILLIS : 0;
        }
    }

    private final EventLoop loop = new MeasuredEventLoop("control", false);
    private final FakeNode node = new FakeNode();
    private final ControlServer server = new ControlServer(loop, node);
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws Exception {
        ChannelFuture listening = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        address = (InetSocketAddress) listening.sync().channel().localAddress();
    }

    @AfterEach
    void close() {
        loop.execute(server::close);
        loop.shutdownGracefully();
    }

    private String call(String bytes) throws Exception {
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(20_000);
            caller.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            ignoreLeadingAndTrailingWhitespace = false,
            value = {
                "health|YES",
                "  health  |YES",
                "counters|node_loads 1;END",
                "cordon s1|YES",
                "cordon \t s1 |YES",
                "uncordon s1|YES",
                "cordon none|NO never listed: none",
                "cordon broken|NO defect in the node",
                "cordon unloadable|NO defect in the node",
                "health now|NO health takes no word more",
                "counters all|NO counters takes no word more",
                "cordon|NO cordon takes one id",
                "cordon s1 s2|NO cordon takes one id",
                "uncordon|NO uncordon takes one id",
                "HEALTH|NO unknown call",
                "quiesce|NO unknown call",
                "' '|NO unknown call",
            })
    void eachCallHasItsResponse(String call, String response) throws Exception {
        assertEquals(response.replace(';', '\n') + "\n", call(call + "\n"));
        assertEquals(response.replace(';', '\n') + "\n", call(call + "\r\n"));
    }

    @Test
    void emptyLineIsRejected() throws Exception {
        assertEquals("NO unknown call\n", call("\n"));
    }

    @Test
    void lineThatIsTooLongIsRejected() throws Exception {
        assertEquals("NO line too long\n", call("cordon " + "s".repeat(5_000)));
    }

    @Test
    void nodeThatDoesNotServeIsNotHealthy() throws Exception {
        node.serving = false;
        assertEquals("NO not serving\n", call("health\n"));
    }

    @Test
    void onlyTheFirstLineOfAConnectionIsExecuted() throws Exception {
        assertEquals("YES\n", call("cordon s1\nuncordon s1\n"));
        assertEquals(List.of("s1 true"), node.calls);
        assertEquals("YES\n", call("uncordon s1\ncordon s1\n"));
        assertEquals(List.of("s1 true", "s1 false"), node.calls);
    }

    @Test
    void responseToACordonIsDelayedUntilAllProcessesFollowIt() throws Exception {
        long calledAtNanos = System.nanoTime();
        assertEquals("YES\n", call("cordon slow\n"));
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAtNanos);
        assertTrue(tookMillis >= DELAY_MILLIS, "response after " + tookMillis + " ms");
    }
}
