package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import loadbalancer.common.Log;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;

/**
 * The last handler in the pipeline of a connection to a server, which carries one exchange at a time.
 *
 * <p>After an exchange has ended, the connection becomes idle only once all data that has arrived is read. Each
 * exchange that was started is ended here once, unless it was removed by {@link #detachExchange}.
 *
 * <p>If the connection closes during an exchange, the exchange ends as {@link AttemptResult#RESET} if its whole request
 * has been written to the socket, so that the server may have run it, and else as {@link AttemptResult#CONNECT_FAILED}.
 * A response that cannot be used closes the connection and ends the exchange as RESET in either case. Half-closure
 * is off, so Netty closes the channel when it reads the end of the server's stream.
 *
 * <p>All methods are called on the event loop. Inbound messages are released here.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements FlowControl, RequestBody.Sink {
    /** The part of the pool that manages the connections to a server. */
    interface Owner {
        /** Returns the server's id, for the log. */
        String serverId();

        /** Returns whether a connection that was opened to this address at this time may carry another exchange. */
        boolean accepts(InetSocketAddress address, long openedAtUs);

        /** The connection is usable and idle. The owner may start an exchange on it before this returns. */
        void onIdle(ServerConnection connection);

        /** A connection that was opened, or has ended an exchange, is not usable and has been closed. */
        void onUnusable();

        /** The connection carries this exchange from now on. */
        void onExchangeStarted(ServerConnection connection, UpstreamExchange exchange);

        /** The connection no longer carries this exchange. */
        void onExchangeEnded(UpstreamExchange exchange);

        /** The connection is about to close, or has closed. */
        void onClosed(ServerConnection connection);
    }

    private final Owner owner;
    private final InetSocketAddress address;
    private final Channel channel;
    private final MonotonicWallClock clock;
    private final ResponseReader reader;
    private final long openedAtUs;
    private long idleSinceUs;

    /** The exchange in progress, or null. */
    private UpstreamExchange exchange;

    private boolean requestWritten;

    /**
     * Whether the node is closing the connection. The decoder then ends a body that is delimited by the close, which
     * must not count as complete.
     */
    private boolean closing;

    /** Whether the connection can carry another exchange once all data that has arrived is read. */
    private boolean reusable;

    ServerConnection(Owner owner, InetSocketAddress address, Channel channel, MonotonicWallClock clock) {
        this.owner = owner;
        this.address = address;
        this.channel = channel;
        this.clock = clock;
        reader = new ResponseReader(channel.eventLoop(), this);
        openedAtUs = clock.nowUs();
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Returns whether the whole request of the last exchange was written to the socket, so that it may have run. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    boolean isUsable() {
        return channel.isActive() && owner.accepts(address, openedAtUs);
    }

    /** Passes the connection to its owner as idle if it is usable, else closes it. */
    void offer() {
        if (!isUsable()) {
            close();
            owner.onUnusable();
            return;
        }
        idleSinceUs = clock.nowUs();
        owner.onIdle(this);
    }

    void close() {
        closing = true;
        owner.onClosed(this);
        channel.close();
    }

    // ---------------------------------------------------------------- the request

    /** Starts an exchange on an idle connection. */
    void start(UpstreamExchange next) {
        // Created first: if this throws, the connection stays idle and usable.
        FullHttpRequest message = next.createMessage();
        owner.onExchangeStarted(this, next);
        exchange = next;
        reader.start(next);
        requestWritten = false;
        if (next.streamedBody() == null) {
            notifyOnceWritten(channel.writeAndFlush(message));
            return;
        }
        // Only the head: the parts of the streamed body follow, framed as the head says.
        DefaultHttpRequest head =
                new DefaultHttpRequest(message.protocolVersion(), message.method(), message.uri(), message.headers());
        message.release();
        closeIfFailed(channel.write(head));
        next.streamedBody().streamTo(this);
    }

    private void notifyOnceWritten(ChannelFuture lastWrite) {
        UpstreamExchange written = exchange;
        lastWrite.addListener(done -> {
            if (done.isSuccess()) {
                requestWritten |= exchange == written;
                written.onRequestWritten();
            } else {
                close();
            }
        });
    }

    private void closeIfFailed(ChannelFuture write) {
        write.addListener(done -> {
            if (!done.isSuccess()) {
                close();
            }
        });
    }

    @Override
    public void write(ByteBuf part) {
        closeIfFailed(channel.write(new DefaultHttpContent(part)));
    }

    @Override
    public void finish() {
        notifyOnceWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && exchange.streamedBody() != null) {
            exchange.streamedBody().updateBackpressure();
        }
    }

    // ---------------------------------------------------------------- the response

    @Override
    public void pauseReading() {
        channel.config().setAutoRead(false);
    }

    @Override
    public void resumeReading() {
        channel.config().setAutoRead(true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (exchange == null || closing || message.decoderResult().isFailure()) {
            // Unsolicited or malformed: further data could be mistaken for a response.
            fail();
            return;
        }
        if (message instanceof HttpResponse response && !reader.readHead(response)) {
            fail();
            return;
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            reader.readContent(content.content());
        }
        if (exchange != null && message instanceof LastHttpContent && !reader.isInformational()) {
            endResponse();
        }
    }

    private void endResponse() {
        byte[] body = reader.bufferedBody();
        AttemptResult result = reader.result();
        reader.notifyOfLoadReport();
        reusable = requestWritten && reader.keepsAlive();
        if (!reusable) {
            channel.close();
        }
        endExchange(result, result == AttemptResult.OK ? body : HttpBodies.EMPTY);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (exchange != null) {
            reader.onReadComplete();
        }
        // Offered only after all data that has arrived is read: stray bytes after a response then find no exchange and
        // close the connection. With an exchange already started, they would be taken for its response.
        if (reusable && exchange == null) {
            reusable = false;
            offer();
        }
    }

    // ---------------------------------------------------------------- the end of an exchange

    /** Closes the connection and ends the exchange, if any, as RESET: its response and further data cannot be used. */
    private void fail() {
        reusable = false;
        close();
        endExchange(AttemptResult.RESET, HttpBodies.EMPTY);
    }

    private void endExchange(AttemptResult result, byte[] body) {
        UpstreamExchange ended = exchange;
        if (ended != null) {
            owner.onExchangeEnded(ended);
            detachExchange();
            ended.onEnded(result, body);
        }
    }

    /** Removes the exchange without ending it, stops streaming its request body and discards its response. */
    void detachExchange() {
        RequestBody streamedBody = exchange.streamedBody();
        exchange = null;
        reader.reset();
        resumeReading();
        if (streamedBody != null) {
            streamedBody.stop(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.onClosed(this);
        endExchange(requestWritten ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // The server or the network causes I/O errors; any other error is a bug.
        if (!(cause instanceof IOException)) {
            Log.error("upstream_connection_error", cause, "server", owner.serverId());
        }
        close();
    }
}
