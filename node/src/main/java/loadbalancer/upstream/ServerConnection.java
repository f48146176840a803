package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.common.MonotonicWallClock;
import loadbalancer.http.TransferCodings;
import loadbalancer.policy.AttemptResult;
import loadbalancer.transfer.FlowControl;
import loadbalancer.transfer.RequestBody;
import loadbalancer.transfer.TransferLimits;

/** A connection to a server, which carries one exchange at a time. */
final class ServerConnection extends ChannelInboundHandlerAdapter implements FlowControl, RequestBody.Sink {
    /** Where it is kept. */
    interface Home {
        /** Of which server, for the log. */
        String serverId();

        /** Whether what was opened to this address at this time may carry anything new. */
        boolean wants(InetSocketAddress endpoint, long openedAtUs);

        /** It is usable and carries nothing: it may be given something at once. */
        void free(ServerConnection connection);

        /** It has been opened, or has carried something, and is of no more use. */
        void useless();

        /** It carries this from now on. */
        void carries(ServerConnection connection, UpstreamExchange exchange);

        /** This has ended, or was given up. */
        void carried(UpstreamExchange exchange);

        /** It ends. */
        void ends(ServerConnection connection);
    }

    private static final byte[] NO_BODY = {};
    /**
     * An answer that tells no length and takes longer is most likely a large one, whose first bytes count:
     * long against what a server takes to write what it has ready, short against any aim.
     */
    private static final long MOST_GATHERING_MS = 50;

    private final Home home;
    private final InetSocketAddress endpoint;
    private final Channel channel;
    private final MonotonicWallClock clock;
    private final long openedAtUs;
    private UpstreamExchange exchange;
    private boolean written;
    private long idleSinceUs;
    private HttpResponse head;
    /** What has come of an answer that is gathered, and the end of its time where it tells no length. */
    private ByteBuf body;

    private Future<?> gathering;
    private boolean flows;
    /** It ends before its time: an end of the answer that comes with that is none. */
    private boolean broken;

    private boolean answered;

    ServerConnection(Home home, InetSocketAddress endpoint, Channel channel, MonotonicWallClock clock) {
        this.home = home;
        this.endpoint = endpoint;
        this.channel = channel;
        this.clock = clock;
        openedAtUs = clock.nowUs();
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Whether its request may have been written whole. */
    boolean isWritten() {
        return written;
    }

    boolean isUsable() {
        return channel.isActive() && home.wants(endpoint, openedAtUs);
    }

    /** Takes up what awaits a connection, or stays idle. */
    void offer() {
        if (!isUsable()) {
            close();
            home.useless();
            return;
        }
        idleSinceUs = clock.nowUs();
        home.free(this);
    }

    void carry(UpstreamExchange next) {
        // First, as a message that cannot be made must not cost the connection.
        FullHttpRequest message = next.message();
        home.carries(this, next);
        exchange = next;
        written = false;
        if (next.upload() == null) {
            written(channel.writeAndFlush(message));
            return;
        }
        // The head alone: what flows behind it is framed as the head says.
        DefaultHttpRequest head =
                new DefaultHttpRequest(message.protocolVersion(), message.method(), message.uri(), message.headers());
        message.release();
        closeIfFailed(channel.write(head));
        next.upload().flowTo(this);
    }

    private void written(ChannelFuture last) {
        UpstreamExchange of = exchange;
        last.addListener(done -> {
            if (done.isSuccess()) {
                written |= exchange == of;
                of.written();
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
        written(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
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
    public void pauseReading() {
        channel.config().setAutoRead(false);
    }

    @Override
    public void resumeReading() {
        channel.config().setAutoRead(true);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (exchange != null && exchange.upload() != null) {
            exchange.upload().keepPace();
        }
    }

    void close() {
        broken = true;
        home.ends(this);
        channel.close();
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
        if (exchange == null || broken || message.decoderResult().isFailure()) {
            // Unasked for, or not to be read: what follows cannot be told apart from an answer.
            fail();
            return;
        }
        if (message instanceof HttpResponse response) {
            head = response;
            dropBody();
            body = TransferLimits.ALLOCATOR.buffer(Math.max(
                    0, (int) Math.min(TransferLimits.MAX_BUFFERED_BYTES, HttpUtil.getContentLength(response, 256L))));
            // Where only the end of the connection ends a body, it must be an end that was announced:
            // else one cut short would pass for whole.
            if (!TransferCodings.isChunkedAtMost(response)
                    || response.status().code() == 200
                            && length() < 0
                            && !HttpUtil.isTransferEncodingChunked(response)
                            && HttpUtil.isKeepAlive(response)) {
                fail();
                return;
            }
        }
        if (message instanceof HttpContent content && content.content().isReadable()) {
            take(content.content());
        }
        if (message instanceof LastHttpContent && head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            answered();
        }
    }

    private void stopGathering() {
        if (gathering != null) {
            gathering.cancel(false);
            gathering = null;
        }
    }

    private void dropBody() {
        stopGathering();
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private long length() {
        return HttpUtil.getContentLength(head, -1L);
    }

    private void take(ByteBuf part) {
        if (head.status().code() != 200) {
            // Nobody is told what an error says.
            return;
        }
        if (!flows
                && Math.max(length(), body.readableBytes() + part.readableBytes())
                        > TransferLimits.MAX_BUFFERED_BYTES) {
            flow();
        }
        if (flows) {
            exchange.part(part.retain());
        } else {
            body.writeBytes(part);
            if (length() < 0 && gathering == null) {
                gathering = channel.eventLoop().schedule(this::flow, MOST_GATHERING_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    /** What has come goes to the client now, and the rest as it comes. */
    private void flow() {
        stopGathering();
        flows = true;
        report();
        exchange.begun(length(), this);
        exchange.part(body);
        body = null;
        exchange.partsRead();
    }

    private void report() {
        String load = head.headers().get(LoadReportDecoder.HEADER);
        if (load != null) {
            exchange.reported(load);
        }
    }

    private void answered() {
        byte[] bytes = flows ? NO_BODY : ByteBufUtil.getBytes(body);
        int status = head.status().code();
        AttemptResult result = status == 200
                ? AttemptResult.OK
                : (status == 503 || status == 504) && "1".equals(head.headers().get("X-Turned-Away"))
                        ? AttemptResult.FULL
                        : AttemptResult.ERROR;
        report();
        answered = written && HttpUtil.isKeepAlive(head);
        if (!answered) {
            channel.close();
        }
        end(result, result == AttemptResult.OK ? bytes : NO_BODY);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (exchange != null && flows) {
            exchange.partsRead();
        }
        // Not before all that came is read: what came behind the answer must not answer the next.
        if (answered && exchange == null) {
            answered = false;
            offer();
        }
    }

    /** The answer cannot be used, nor anything behind it. */
    private void fail() {
        answered = false;
        close();
        end(AttemptResult.RESET, NO_BODY);
    }

    private void end(AttemptResult result, byte[] bytes) {
        UpstreamExchange over = exchange;
        if (over != null) {
            home.carried(over);
            letGo();
            over.ended(result, bytes);
        }
    }

    /** Carries nothing from now on. */
    void letGo() {
        RequestBody upload = exchange.upload();
        exchange = null;
        head = null;
        dropBody();
        flows = false;
        resumeReading();
        if (upload != null) {
            upload.stop(this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        home.ends(this);
        end(written ? AttemptResult.RESET : AttemptResult.CONNECT_FAILED, NO_BODY);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.error("upstream_connection_error", cause, "server", home.serverId());
        }
        close();
    }
}
