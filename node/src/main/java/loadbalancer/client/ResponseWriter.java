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
 * Writes responses to a client, whole ones and streamed ones, and pauses the source of a stream that the client does
 * not take.
 *
 * <p>Each part that is given to it is handed over to the channel, which releases it. Runs on the event loop.
 */
final class ResponseWriter {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NOT_STALLED = 0;

    private final SocketChannel channel;
    private final ConnectionState state;
    private final ChannelFutureListener onWritten;

    /** Where a streamed response comes from, and since when the client takes no more of it. */
    private FlowControl source;

    private long stalledSinceNanos = NOT_STALLED;

    /** @param onWritten called once the end of a response is written out, or could not be written */
    ResponseWriter(SocketChannel channel, ConnectionState state, ChannelFutureListener onWritten) {
        this.channel = channel;
        this.state = state;
        this.onWritten = onWritten;
    }

    /** Makes a whole response; {@code retryAfterUs} of 0 gives no advice. */
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
     * Makes the head of a streamed response of this length, or of -1 where it is not known. Where the client does not
     * accept chunks either, only the end of the connection can end the response.
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

    /** Marks the response as the last one on its connection. */
    void markLast(HttpResponse response) {
        state.disableKeepAlive();
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }

    /** Writes a whole response. */
    void write(FullHttpResponse response) {
        channel.writeAndFlush(response).addListener(onWritten);
    }

    /** Writes the head of a response that is streamed from a source. */
    void start(HttpResponse response, FlowControl from) {
        source = from;
        channel.write(response);
    }

    /** Writes the next part of a streamed response; takes the part over. */
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

    /** Writes the end of a streamed response. */
    void end() {
        source = null;
        stalledSinceNanos = NOT_STALLED;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(onWritten);
    }

    /**
     * Breaks off a streamed response by resetting the connection. Where only the end of the connection ends a response,
     * a client would take a truncated one for complete after an orderly close.
     */
    void abort() {
        source = null;
        channel.config().setSoLinger(0);
        channel.close();
    }

    /** The client takes bytes again, or no longer does. */
    void onWritabilityChanged() {
        if (source != null && channel.isWritable() && stalledSinceNanos != NOT_STALLED) {
            stalledSinceNanos = NOT_STALLED;
            source.resumeReading();
        }
    }

    boolean isStreaming() {
        return source != null;
    }

    /** Whether the client has taken nothing for longer than this. */
    boolean isStalledLongerThan(long timeoutNanos, long nowNanos) {
        return stalledSinceNanos != NOT_STALLED && nowNanos - stalledSinceNanos > timeoutNanos;
    }
}
