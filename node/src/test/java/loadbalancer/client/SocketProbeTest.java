package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Probes of a socket, with turns of the event loop that the test counts. */
class SocketProbeTest {
    private final List<String> results = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInboundHandlerAdapter());
    private final ChannelHandlerContext context = channel.pipeline().firstContext();
    private final ManualClock clock = new ManualClock();

    private final SocketProbe probe = new SocketProbe(
            new SocketProbe.Listener() {
                @Override
                public void onSocketEmpty() {
                    results.add("empty");
                }

                @Override
                public void onSocketNotEmpty() {
                    results.add("not empty");
                }
            },
            clock);

    private void nextTurn() {
        clock.nextTurn();
        channel.runPendingTasks();
    }

    /**
     * Guards against calling a socket empty that has not been polled: a probe that begins while the turn handles I/O
     * runs its task in the same turn.
     */
    @Test
    void probeDoesNotEndBeforeTheNextPoll() {
        probe.start(context);
        channel.runScheduledPendingTasks();
        assertEquals(List.of(), results);
        nextTurn();
        assertEquals(List.of("empty"), results);
    }

    @Test
    void socketFromWhichSomethingWasReadIsNotEmpty() {
        probe.start(context);
        probe.onRead();
        nextTurn();
        assertEquals(List.of("not empty"), results);
    }

    /** Guards against results about a connection that has closed. */
    @Test
    void nothingIsReportedOfAClosedChannel() {
        probe.start(context);
        channel.close();
        nextTurn();
        assertEquals(List.of(), results);
    }
}
