package loadbalancer.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.transfer.FlowControl;

/**
 * Writes complete and streamed responses to a client, and pauses the source of a stream that the client reads too
 * slowly.
 *
 * <p>Takes ownership of each part and passes it to the channel, which releases it. All methods are called on the event
 * loop.
 */
final class ResponseWriter {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NOT_STALLED = 0;

    private final SocketChannel channel;
    private final ConnectionState state;
    private final ChannelFutureListener onWritten;

    /** The source of the streamed response; null if none is being streamed. */
    private FlowControl source;

    /** When the channel became unwritable and the source was paused, or {@link #NOT_STALLED}. */
    private long stalledSinceNanos = NOT_STALLED;

    /** @param onWritten called when the end of a response has been written to the socket, or its write has failed */
    ResponseWriter(SocketChannel channel, ConnectionState state, ChannelFutureListener onWritten) {
        this.channel = channel;
        this.state = state;
        this.onWritten = onWritten;
    }

    /**
     * Creates a complete response. {@code retryAfterUs} is sent as Retry-After, in seconds; 0 leaves the header out.
     */
    static FullHttpResponse fullResponse(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterUs / MICROS_PER_SECOND);
        }
        return response;
    }

    /**
     * Creates the head of a streamed response. If the length is unknown and the client does not accept a chunked
     * response, the end of the connection ends the response.
     *
     * @param length the length of the body in bytes, or -1 if it is unknown
     */
    HttpResponse streamedResponse(long length, ClientRequest.Head request) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (length >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (request.acceptsChunked()) {
            HttpUtil.setTransferEncodingChunked(response, true);
        } else {
            state.disableKeepAlive();
        }
        return response;
    }

    /** Adds Connection: close to the response, which becomes the last one on its connection. */
    void markLast(HttpResponse response) {
        state.disableKeepAlive();
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    /** Writes and flushes a complete response. */
    void write(FullHttpResponse response) {
        channel.writeAndFlush(response).addListener(onWritten);
    }

    /** Writes the head of a response that is streamed from this source, without flushing it. */
    void start(HttpResponse response, FlowControl responseSource) {
        source = responseSource;
        channel.write(response);
    }

    /** Writes the next part of a streamed response without flushing it; takes ownership of the part. */
    void writePart(ByteBuf part) {
        channel.write(new DefaultHttpContent(part));
        if (!channel.isWritable() && stalledSinceNanos == NOT_STALLED) {
            stalledSinceNanos = System.nanoTime();
            source.pauseReading();
        }
    }

    void flush() {
        channel.flush();
    }

    /** Writes and flushes the end of a streamed response. */
    void end() {
        source = null;
        stalledSinceNanos = NOT_STALLED;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(onWritten);
    }

    /**
     * Aborts a streamed response by resetting the connection. A response without length and chunks ends with the
     * connection, so that after an orderly close a client would accept a truncated one as complete.
     */
    void abort() {
        source = null;
        channel.config().setSoLinger(0);
        channel.close();
    }

    /** Resumes a paused source if the channel has become writable again. */
    void onWritabilityChanged() {
        if (source != null && channel.isWritable() && stalledSinceNanos != NOT_STALLED) {
            stalledSinceNanos = NOT_STALLED;
            source.resumeReading();
        }
    }

    boolean isStreaming() {
        return source != null;
    }

    /** Returns whether the channel has been unwritable, with the source paused, for longer than this. */
    boolean isStalledLongerThan(long timeoutNanos, long nowNanos) {
        return stalledSinceNanos != NOT_STALLED && nowNanos - stalledSinceNanos > timeoutNanos;
    }
}
