package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.http.HttpBodies;
import loadbalancer.http.ProtocolHeaders;
import loadbalancer.http.TransferCodings;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.TransferLimits;

/**
 * Reads the response of one exchange at a time: it buffers a small body and streams a large one.
 *
 * <p>It owns the buffered body until the body is streamed or {@link #reset} is called, and the timer that ends the
 * buffering. It borrows the parts that it is given. Runs on the event loop.
 */
final class ResponseReader {
    private static final long UNKNOWN_LENGTH = -1;
    private static final int OK = HttpResponseStatus.OK.code();

    /** Room for a body of unknown length to begin with. */
    private static final long INITIAL_BUFFER_BYTES = 256;

    /**
     * A response of unknown length that takes longer than this is most likely a large one, whose first bytes count.
     * It is long against what a server takes to write what it has ready, and short against any latency objective.
     */
    private static final long MAX_BUFFERING_MS = 50;

    private final EventLoop loop;
    private final FlowControl source;

    private UpstreamExchange exchange;
    private HttpResponse head;
    /** What has arrived of a response that is buffered. */
    private ByteBuf buffered;
    /** The end of the buffering, where the response tells no length. */
    private Future<?> bufferingTimeout;

    private boolean streaming;

    /** @param source pauses and resumes a response that is streamed */
    ResponseReader(EventLoop loop, FlowControl source) {
        this.loop = loop;
        this.source = source;
    }

    /** What is read from now on is the response to this exchange. */
    void start(UpstreamExchange next) {
        exchange = next;
    }

    /** Forgets the exchange and what has been read of its response. */
    void reset() {
        exchange = null;
        head = null;
        releaseBuffered();
        streaming = false;
    }

    /** Reads the head of a response; returns whether the response can be used. */
    boolean readHead(HttpResponse response) {
        head = response;
        releaseBuffered();
        long expectedBytes = HttpUtil.getContentLength(response, INITIAL_BUFFER_BYTES);
        buffered = TransferLimits.ALLOCATOR.buffer(
                Math.max(0, (int) Math.min(TransferLimits.MAX_BUFFERED_BYTES, expectedBytes)));
        return TransferCodings.hasOnlyChunkedCoding(response) && !endsWithUnannouncedClose(response);
    }

    /**
     * Whether only the end of the connection ends the body, and the server has not announced that it closes. A body
     * that a lost connection has truncated would pass for complete; where the close is announced, the server means
     * it.
     */
    private boolean endsWithUnannouncedClose(HttpResponse response) {
        return response.status().code() == OK
                && length() < 0
                && !HttpUtil.isTransferEncodingChunked(response)
                && HttpUtil.isKeepAlive(response);
    }

    /** Reads a part of the body. The body of an error is dropped, as no client is sent it. */
    void readContent(ByteBuf part) {
        if (head.status().code() != OK) {
            return;
        }
        if (!streaming && isTooLargeToBuffer(part)) {
            startStreaming();
        }
        if (streaming) {
            exchange.onResponsePart(part.retain());
            return;
        }
        buffered.writeBytes(part);
        if (length() < 0 && bufferingTimeout == null) {
            bufferingTimeout = loop.schedule(this::startStreaming, MAX_BUFFERING_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean isTooLargeToBuffer(ByteBuf nextPart) {
        int receivedBytes = buffered.readableBytes() + nextPart.readableBytes();
        return Math.max(length(), receivedBytes) > TransferLimits.MAX_BUFFERED_BYTES;
    }

    /** Passes on what is buffered now, and the rest as it arrives. */
    private void startStreaming() {
        cancelBufferingTimeout();
        streaming = true;
        notifyOfLoadReport();
        exchange.onResponseStarted(length(), source);
        exchange.onResponsePart(buffered);
        buffered = null;
        exchange.onResponseReadComplete();
    }

    /** Notifies the exchange of the load report that the response has brought, if any. */
    void notifyOfLoadReport() {
        String report = head.headers().get(ProtocolHeaders.LOAD_REPORT);
        if (report != null) {
            exchange.onLoadReport(report);
        }
    }

    /** How the attempt has ended, going by the head of a complete response. */
    AttemptResult result() {
        int status = head.status().code();
        if (status == OK) {
            return AttemptResult.OK;
        }
        return isLoadShed(status) ? AttemptResult.FULL : AttemptResult.ERROR;
    }

    private boolean isLoadShed(int status) {
        boolean unavailable = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                || status == HttpResponseStatus.GATEWAY_TIMEOUT.code();
        return unavailable && ProtocolHeaders.TRUE.equals(head.headers().get(ProtocolHeaders.LOAD_SHED));
    }

    /** What is buffered of the body; empty where it was streamed. */
    byte[] bufferedBody() {
        return streaming ? HttpBodies.EMPTY : ByteBufUtil.getBytes(buffered);
    }

    /** Whether the head that was last read announces another one. */
    boolean isInformational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    boolean keepsAlive() {
        return HttpUtil.isKeepAlive(head);
    }

    boolean isStreaming() {
        return streaming;
    }

    private long length() {
        return HttpUtil.getContentLength(head, UNKNOWN_LENGTH);
    }

    private void cancelBufferingTimeout() {
        if (bufferingTimeout != null) {
            bufferingTimeout.cancel(false);
            bufferingTimeout = null;
        }
    }

    private void releaseBuffered() {
        cancelBufferingTimeout();
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }
}
