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
 * The last handler of a connection to a server, which carries one exchange at a time.
 *
 * <p>It is idle, or carries an exchange, or has carried one and reads on until nothing more is there, and becomes idle
 * then. An exchange that it has taken ends here, once, unless {@link #detachExchange} takes it away. All methods run on
 * the event loop. Messages that are read are released here.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter implements FlowControl, RequestBody.Sink {
    /** The part of the pool that keeps the connection. */
    interface Owner {
        /** The server's id, for the log. */
        String serverId();

        /** Whether a connection that was opened to this address at this time may carry anything new. */
        boolean accepts(InetSocketAddress address, long openedAtUs);

        /** The connection is usable and idle: it may be given an exchange at once. */
        void onIdle(ServerConnection connection);

        /** A connection has been opened, or has ended an exchange, and is of no more use. */
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

    /** What is carried; null while idle. */
    private UpstreamExchange exchange;

    private boolean requestWritten;

    /** Whether the node closes it: the end of a response that comes with such a close is none. */
    private boolean closing;

    /** Whether its exchange has ended such that it can carry another, once all that has arrived is read. */
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

    /** Whether the request may have been written in full. */
    boolean isRequestWritten() {
        return requestWritten;
    }

    boolean isUsable() {
        return channel.isActive() && owner.accepts(address, openedAtUs);
    }

    /** Gives the connection to its owner if it is usable, else closes it. */
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
        // First, as a message that can't be made must not cost the connection.
        FullHttpRequest message = next.createMessage();
        owner.onExchangeStarted(this, next);
        exchange = next;
        reader.start(next);
        requestWritten = false;
        if (next.streamedBody() == null) {
            notifyOnceWritten(channel.writeAndFlush(message));
            return;
        }
        // The head alone: the streamed body is framed as the head says.
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
            // Unsolicited or unreadable: what follows can't be told apart from a response.
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
        if (message instanceof LastHttpContent && !reader.isInformational()) {
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
        if (exchange != null && reader.isStreaming()) {
            exchange.onResponseReadComplete();
        }
        // Offered only now: were the connection given an exchange before all that has arrived is read, stray bytes
        // behind the last response would be taken for the next one. They meet no exchange this way and close it.
        if (reusable && exchange == null) {
            reusable = false;
            offer();
        }
    }

    // ---------------------------------------------------------------- the end of an exchange

    /** The response can't be used, nor anything behind it. */
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

    /** Carries nothing from now on; the exchange is not notified. */
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
        // An I/O error is the server's; anything else is a programming error.
        if (!(cause instanceof IOException)) {
            Log.error("upstream_connection_error", cause, "server", owner.serverId());
        }
        close();
    }
}
