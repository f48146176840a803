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

/** The answers to operators' calls, byte for byte, of a server whose node is a fake. */
class ControlServerTest {
    private static final long DELAY_MS = 150;

    /** Notes what it is called for. */
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
                throw new IllegalStateException("planted by a test");
            }
            return serverId.equals("slow") ? DELAY_MS : 0;
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
                "health now|NO health takes no word more",
                "counters all|NO counters takes no word more",
                "cordon|NO cordon takes one id",
                "cordon s1 s2|NO cordon takes one id",
                "uncordon|NO uncordon takes one id",
                "HEALTH|NO unknown call",
                "quiesce|NO unknown call",
                "' '|NO unknown call",
            })
    void everyCallHasItsAnswer(String call, String answer) throws Exception {
        assertEquals(answer.replace(';', '\n') + "\n", call(call + "\n"));
        assertEquals(answer.replace(';', '\n') + "\n", call(call + "\r\n"));
    }

    @Test
    void anEmptyLineIsNoCall() throws Exception {
        assertEquals("NO unknown call\n", call("\n"));
    }

    @Test
    void aLineThatIsTooLongIsNoCall() throws Exception {
        assertEquals("NO line too long\n", call("cordon " + "s".repeat(5_000)));
    }

    @Test
    void aNodeThatDoesNotServeIsNotHealthy() throws Exception {
        node.serving = false;
        assertEquals("NO not serving\n", call("health\n"));
    }

    @Test
    void onlyTheFirstLineOfAConnectionIsACall() throws Exception {
        assertEquals("YES\n", call("cordon s1\nuncordon s1\n"));
        assertEquals(List.of("s1 true"), node.calls);
        assertEquals("YES\n", call("uncordon s1\ncordon s1\n"));
        assertEquals(List.of("s1 true", "s1 false"), node.calls);
    }

    @Test
    void theAnswerToACordonWaitsUntilAllProcessesFollowIt() throws Exception {
        long calledAtNanos = System.nanoTime();
        assertEquals("YES\n", call("cordon slow\n"));
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - calledAtNanos);
        assertTrue(tookMillis >= DELAY_MS, "answered after " + tookMillis + " ms");
    }
}
