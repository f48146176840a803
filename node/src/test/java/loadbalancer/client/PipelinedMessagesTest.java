package loadbalancer.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order and the number of pipelined requests, of which some are dropped and rejected. */
class PipelinedMessagesTest {
    private static final int CLASSES = 3;

    private final PipelinedMessages pipelined =
            new PipelinedMessages(request -> Integer.parseInt(request.uri()) % CLASSES);
    private final List<ByteBuf> bodies = new ArrayList<>();

    private static DefaultHttpRequest head(int number) {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Integer.toString(number));
    }

    private void add(HttpObject part) {
        pipelined.add(part, 0);
        ReferenceCountUtil.release(part);
    }

    private void addPart() {
        ByteBuf body = Unpooled.buffer(8).writeLong(0);
        bodies.add(body);
        add(new DefaultHttpContent(body));
    }

    private void addRequest(int number) {
        add(head(number));
        add(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Takes one request from the queue; returns its number, or -1 if it is to be rejected. */
    private int take() {
        if (pipelined.isNextRejected()) {
            pipelined.pollRejected();
            return -1;
        }
        int number = -1;
        HttpObject message;
        do {
            message = pipelined.poll().message();
            if (message instanceof HttpRequest request) {
                number = Integer.parseInt(request.uri());
            }
            ReferenceCountUtil.release(message);
        } while (!(message instanceof LastHttpContent));
        return number;
    }

    /**
     * Guards against requests that get no response, two, or one out of order: whenever dropping starts and ends, each
     * request is taken or rejected once, in the order in which they came, and every buffer is released.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void eachRequestIsKeptOrRejectedOnceAndInOrder(long seed) {
        Random random = new Random(seed);
        List<Boolean> kept = new ArrayList<>();
        List<Integer> taken = new ArrayList<>();
        for (int number = 0; number < 500; number++) {
            boolean rejecting = random.nextInt(4) == 0;
            if (rejecting) {
                pipelined.startRejecting();
            } else {
                pipelined.stopRejecting();
            }
            boolean keep = !rejecting;
            add(head(number));
            for (int parts = random.nextInt(4); parts > 0; parts--) {
                addPart();
            }
            if (random.nextInt(8) == 0) {
                // Drops the request whose end has not come.
                pipelined.startRejecting();
                keep = false;
                addPart();
            }
            add(LastHttpContent.EMPTY_LAST_CONTENT);
            kept.add(keep);
            while (random.nextInt(3) == 0 && taken.size() < kept.size()) {
                taken.add(take());
            }
        }
        while (!pipelined.isEmpty()) {
            taken.add(take());
        }
        assertEquals(kept.size(), taken.size());
        for (int number = 0; number < kept.size(); number++) {
            assertEquals(kept.get(number) ? number : -1, taken.get(number));
        }
        bodies.forEach(body -> assertEquals(0, body.refCnt()));
    }

    /** Guards against a queue that grows with what a client sends although its requests are dropped. */
    @Test
    void droppedRequestsTakeNoRoom() {
        pipelined.startRejecting();
        for (int number = 0; number < 100_000; number++) {
            addRequest(number);
        }
        pipelined.stopRejecting();
        assertFalse(pipelined.isFull());
        int[] rejectedByClass = new int[CLASSES];
        while (!pipelined.isEmpty()) {
            rejectedByClass[pipelined.pollRejected().classIndex()]++;
        }
        assertEquals(33_334, rejectedByClass[0]);
        assertEquals(33_333, rejectedByClass[1]);
        assertEquals(33_333, rejectedByClass[2]);
    }

    /** Guards against a connection that waits for good: the rest of a dropped request comes after its response. */
    @Test
    void droppedRequestThatHasNotBeenReceivedSaysSo() {
        pipelined.startRejecting();
        addRequest(0);
        add(head(1));
        assertTrue(pipelined.pollRejected().received());
        assertFalse(pipelined.pollRejected().received());
        assertTrue(pipelined.isEmpty());
    }

    /** Guards against taking something for a request behind one that ends the connection, or whose end is unknown. */
    @Test
    void nothingFollowsADroppedRequestThatEndsTheConnection() {
        HttpRequest closing = head(0);
        closing.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpRequest ambiguous = head(0);
        ambiguous.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "gzip, chunked");
        HttpRequest expecting = head(0);
        expecting.headers().set(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE);
        HttpRequest malformed = head(0);
        malformed.setDecoderResult(DecoderResult.failure(new IllegalArgumentException()));
        for (HttpRequest last : List.of(closing, ambiguous, expecting, malformed)) {
            pipelined.startRejecting();
            add(last);
            HttpContent rest = LastHttpContent.EMPTY_LAST_CONTENT;
            add(rest);
            addRequest(1);
            RejectedRequests.Rejection rejection = pipelined.pollRejected();
            assertFalse(rejection.keepAlive());
            assertTrue(rejection.received());
            assertTrue(pipelined.isEmpty());
        }
    }
}
