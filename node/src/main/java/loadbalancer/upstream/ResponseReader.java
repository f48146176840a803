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
 * Reads the response of one exchange at a time: buffers a small body and streams a large one.
 *
 * <p>A body of unknown length is buffered until it has ended or exceeds {@link TransferLimits#MAX_BUFFERED_BYTES}, but
 * not for longer than {@link UpstreamExchange#maxBufferingUs}: it may be large, and then the time of its first bytes
 * counts.
 *
 * <p>Owns the buffered body until it is passed to the exchange or {@link #reset} is called, and the timer that ends the
 * buffering. The caller of {@link #readContent} releases the part. All methods are called on the event loop.
 */
final class ResponseReader {
    private static final long UNKNOWN_LENGTH = -1;
    private static final int OK = HttpResponseStatus.OK.code();

    /** Initial capacity of the buffer for a body of unknown length. */
    private static final long INITIAL_BUFFER_BYTES = 256;

    private final EventLoop loop;
    private final FlowControl source;

    private UpstreamExchange exchange;
    private HttpResponse head;
    /** The buffered body; null if there is no response or it is streamed. */
    private ByteBuf buffered;

    /** Ends the buffering of a body of unknown length; null if not scheduled. */
    private Future<?> bufferingTimeout;

    private boolean streaming;

    /** @param source pauses and resumes reading of a streamed response */
    ResponseReader(EventLoop loop, FlowControl source) {
        this.loop = loop;
        this.source = source;
    }

    /** Sets the exchange whose response is read from now on. */
    void start(UpstreamExchange next) {
        exchange = next;
    }

    /** Forgets the exchange and its response, and releases the buffered body. */
    void reset() {
        exchange = null;
        head = null;
        releaseBuffered();
        streaming = false;
    }

    /** Reads the head of a response. Returns false if its body cannot be delimited or decoded reliably. */
    boolean readHead(HttpResponse response) {
        head = response;
        releaseBuffered();
        long expectedBytes = HttpUtil.getContentLength(response, INITIAL_BUFFER_BYTES);
        buffered = TransferLimits.ALLOCATOR.buffer(
                Math.max(0, (int) Math.min(TransferLimits.MAX_BUFFERED_BYTES, expectedBytes)));
        if (!TransferCodings.hasOnlyChunkedCoding(response) || endsWithUnannouncedClose(response)) {
            return false;
        }
        if (response.status().code() == OK) {
            exchange.onResponseHead(length());
        }
        return true;
    }

    /**
     * Returns whether the body ends only with the connection although the server has not announced the close. A body
     * truncated by a lost connection would then look complete. If the close is announced, the end of the connection is
     * accepted as the end of the body.
     */
    private boolean endsWithUnannouncedClose(HttpResponse response) {
        return response.status().code() == OK
                && length() < 0
                && !HttpUtil.isTransferEncodingChunked(response)
                && HttpUtil.isKeepAlive(response);
    }

    /**
     * Reads a part of the body. The body of an error response is dropped, as it is not forwarded to clients. The
     * exchange may end within this call, as the response starts to be streamed.
     */
    void readContent(ByteBuf part) {
        if (head.status().code() != OK) {
            return;
        }
        exchange.onResponseBytes(part.readableBytes());
        if (!streaming && isTooLargeToBuffer(part)) {
            startStreaming();
            if (exchange == null) {
                return;
            }
        }
        if (streaming) {
            exchange.onResponsePart(part.retain());
            return;
        }
        buffered.writeBytes(part);
        limitBuffering();
    }

    private void limitBuffering() {
        if (length() >= 0 || bufferingTimeout != null) {
            return;
        }
        long limitUs = exchange.maxBufferingUs();
        if (limitUs < Long.MAX_VALUE) {
            bufferingTimeout = loop.schedule(this::startStreaming, limitUs, TimeUnit.MICROSECONDS);
        }
    }

    private boolean isTooLargeToBuffer(ByteBuf nextPart) {
        int receivedBytes = buffered.readableBytes() + nextPart.readableBytes();
        return Math.max(length(), receivedBytes) > TransferLimits.MAX_BUFFERED_BYTES;
    }

    /** Passes the buffered part of the body to the exchange, and from now on each part as it arrives. */
    private void startStreaming() {
        cancelBufferingTimeout();
        streaming = true;
        ByteBuf first = buffered;
        buffered = null;
        notifyOfLoadReport();
        exchange.onResponseStarted(length(), source);
        if (exchange == null) {
            first.release();
            return;
        }
        exchange.onResponsePart(first);
        exchange.onResponseReadComplete();
    }

    /** Tells the exchange that all parts of a streamed body that have arrived so far have been read. */
    void onReadComplete() {
        if (streaming) {
            exchange.onResponseReadComplete();
        }
    }

    /** Passes the load report of the response, if any, to the exchange. */
    void notifyOfLoadReport() {
        String report = head.headers().get(ProtocolHeaders.LOAD_REPORT);
        if (report != null) {
            exchange.onLoadReport(report);
        }
    }

    /** Returns the result of the attempt according to the head of a complete response. */
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

    /** Returns a copy of the buffered body; empty if the body was streamed. */
    byte[] bufferedBody() {
        return streaming ? HttpBodies.EMPTY : ByteBufUtil.getBytes(buffered);
    }

    /** Returns whether the last head is an interim response (1xx), which another head follows. */
    boolean isInformational() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    boolean keepsAlive() {
        return HttpUtil.isKeepAlive(head);
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
