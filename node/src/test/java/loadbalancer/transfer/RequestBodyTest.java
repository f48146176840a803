package loadbalancer.transfer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests a streamed body between a recorded client and recorded servers. */
class RequestBodyTest {
    private static final long UNREAD_SINCE_NANOS = 17;
    private static final long ARRIVED_AT_NANOS = 42;

    private boolean clientConfirmed = true;
    private Runnable awaitingClient;
    private final List<String> events = new ArrayList<>();
    private final ByteBuf beginning = buffer("beginning ");
    private final RequestBody body = new RequestBody(new RecordingClient(), -1, beginning);

    private final class RecordingClient implements RequestSource {
        @Override
        public void pauseReading() {
            events.add("paused");
        }

        @Override
        public void resumeReading() {
            events.add("resumed");
        }

        @Override
        public long writtenSinceNanos(long distance) {
            return UNREAD_SINCE_NANOS;
        }

        @Override
        public void whenClientConfirmed(Runnable action) {
            if (clientConfirmed) {
                action.run();
            } else {
                awaitingClient = action;
            }
        }
    }

    private static final class RecordingServer implements RequestBody.Sink {
        private final StringBuilder written = new StringBuilder();
        private boolean writable = true;
        private boolean finished;

        @Override
        public void write(ByteBuf part) {
            written.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }

        @Override
        public void finish() {
            finished = true;
        }

        @Override
        public void flush() {
            // Written parts are recorded immediately.
        }

        @Override
        public boolean isWritable() {
            return writable;
        }
    }

    RequestBodyTest() {
        body.setListener(new RequestBody.Listener() {
            @Override
            public void onCommitted() {
                events.add("committed");
            }

            @Override
            public void onBlocked(boolean blocked) {
                events.add(blocked ? "blocked" : "unblocked");
            }

            @Override
            public void onReceived(long arrivedAtNanos) {
                assertEquals(ARRIVED_AT_NANOS, arrivedAtNanos);
                events.add("received");
            }
        });
    }

    private static ByteBuf buffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    @Test
    void streamsBeginningBacklogAndRest() {
        body.add(buffer("backlog "));
        RecordingServer server = new RecordingServer();
        body.streamTo(server);
        body.add(buffer("rest"));
        body.end(ARRIVED_AT_NANOS);
        assertEquals("beginning backlog rest", server.written.toString());
        assertTrue(server.finished);
        assertEquals(List.of("paused", "committed", "resumed", "received"), events);
        assertEquals(12, body.forwardedBytes());
        assertEquals(0, beginning.refCnt(), "released once it cannot be replayed");
    }

    /**
     * A server fails after it has received only the beginning, so the body is replayed to another one. Once a further
     * part has been forwarded to that server, the body cannot be replayed again.
     */
    @Test
    void beginningIsReplayableUntilMoreIsForwarded() {
        RecordingServer failed = new RecordingServer();
        body.streamTo(failed);
        assertFalse(body.isReplayable(), "the body is being streamed to a server");
        body.stop(failed);
        assertTrue(body.isReplayable());
        RecordingServer server = new RecordingServer();
        body.streamTo(server);
        body.add(buffer("rest"));
        assertEquals("beginning rest", server.written.toString());
        body.stop(server);
        assertFalse(body.isReplayable());
    }

    /**
     * A server stops reading for a while. The client must be paused for that time; otherwise the node would buffer all
     * that the client sends.
     */
    @Test
    void clientIsPausedWhileServerIsNotWritable() {
        RecordingServer server = new RecordingServer();
        body.streamTo(server);
        server.writable = false;
        body.updateBackpressure();
        body.updateBackpressure();
        assertTrue(body.isBlockedByServer());
        server.writable = true;
        body.updateBackpressure();
        assertFalse(body.isBlockedByServer());
        assertEquals(List.of("paused", "resumed", "blocked", "paused", "unblocked", "resumed"), events);
    }

    /** A server that has got a part of a body must not take it for complete when its rest has been dropped. */
    @Test
    void droppedEndIsReceivedButNotForwarded() {
        RecordingServer server = new RecordingServer();
        body.streamTo(server);
        body.add(buffer("part"));
        assertFalse(body.isTruncated());
        body.endDropped(ARRIVED_AT_NANOS);
        assertTrue(body.isTruncated());
        assertFalse(server.finished);
        assertEquals(List.of("paused", "resumed", "committed", "received"), events);
    }

    @Test
    void releaseReleasesBeginningAndBacklog() {
        ByteBuf backlog = buffer("backlog");
        body.add(backlog);
        body.release();
        assertEquals(0, beginning.refCnt());
        assertEquals(0, backlog.refCnt());
        assertFalse(body.isReplayable());
    }

    /** Guards against a server that runs the request of a client that has left: it must not get the last byte. */
    @Test
    void lastByteIsForwardedOnceTheClientIsConfirmed() {
        clientConfirmed = false;
        RequestBody sized = new RequestBody(new RecordingClient(), 20, buffer("beginning "));
        sized.setListener(new IgnoringListener());
        RecordingServer server = new RecordingServer();
        sized.streamTo(server);
        sized.add(buffer("part "));
        sized.add(buffer("end.."));
        sized.end(ARRIVED_AT_NANOS);
        assertEquals("beginning part ", server.written.toString());
        assertFalse(server.finished);
        assertTrue(sized.isTruncated());
        awaitingClient.run();
        assertEquals("beginning part end..", server.written.toString());
        assertTrue(server.finished);
        assertFalse(sized.isTruncated());
        sized.release();
    }

    /** Guards against a server that gets the end of a body that it was chosen for while the client was unconfirmed. */
    @Test
    void lastByteIsNotForwardedToALaterServerEither() {
        clientConfirmed = false;
        body.add(buffer("part"));
        body.end(ARRIVED_AT_NANOS);
        RecordingServer server = new RecordingServer();
        body.streamTo(server);
        assertFalse(server.finished);
        awaitingClient.run();
        assertTrue(server.finished);
    }

    private static final class IgnoringListener implements RequestBody.Listener {
        @Override
        public void onCommitted() {}

        @Override
        public void onBlocked(boolean blocked) {}

        @Override
        public void onReceived(long arrivedAtNanos) {}
    }
}
