package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.net.SocketAddresses;

/**
 * An HTTP connection to the discovery service, whose response is an unending stream of endpoint lists and heartbeats.
 * Fails if the service ends it, sends malformed or overlong data, or sends nothing for too long. Used on the event loop
 * of the node only.
 */
final class WatchConnection extends SimpleChannelInboundHandler<HttpObject> implements WatchStateMachine.Connection {
    private static final String PATH = "/discovery/hosts?watch=1&after=";
    private static final String HOST = "discovery";

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final ObjectMapper json;
    private final EndpointListDecoder decoder;
    private final WatchTimeouts timeouts;
    private final WatchStateMachine.ConnectionListener listener;
    private final JsonDocumentFramer framer = new JsonDocumentFramer();
    private Channel channel;
    private Future<?> silenceTimeout;
    /** Whether a complete document (a list or a heartbeat) has been received. */
    private boolean documentReceived;

    private boolean closed;

    WatchConnection(
            EventLoop loop,
            Bootstrap bootstrap,
            ObjectMapper json,
            EndpointListDecoder decoder,
            WatchTimeouts timeouts,
            WatchStateMachine.ConnectionListener listener) {
        this.loop = loop;
        this.bootstrap = bootstrap;
        this.json = json;
        this.decoder = decoder;
        this.timeouts = timeouts;
        this.listener = listener;
    }

    @Override
    public void connect(InetSocketAddress address, long afterVersion) {
        Log.info("watch_opened", "address", SocketAddresses.format(address), "after_version", afterVersion);
        ChannelFuture connectFuture = bootstrap.connect(address);
        channel = connectFuture.channel();
        restartSilenceTimeout(timeouts.firstMessageUs());
        connectFuture.addListener(future -> {
            if (future.isSuccess()) {
                sendRequest(afterVersion);
            } else {
                fail("connect failed: " + future.cause().getMessage());
            }
        });
    }

    private void sendRequest(long afterVersion) {
        channel.pipeline().addLast(this);
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH + afterVersion);
        request.headers().set(HttpHeaderNames.HOST, HOST);
        channel.writeAndFlush(request);
    }

    @Override
    public void close() {
        closed = true;
        silenceTimeout.cancel(false);
        channel.close();
    }

    private void fail(String reason) {
        if (!closed) {
            close();
            listener.onFailure(reason);
        }
    }

    private void restartSilenceTimeout(long timeoutUs) {
        if (silenceTimeout != null) {
            silenceTimeout.cancel(false);
        }
        silenceTimeout = loop.schedule(() -> fail("silent"), timeoutUs, TimeUnit.MICROSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (closed) {
            return;
        }
        if (documentReceived) {
            restartSilenceTimeout(timeouts.silenceUs());
        }
        if (message.decoderResult().isFailure()) {
            fail("response is malformed");
        } else if (message instanceof HttpResponse response
                && response.status().code() != HttpResponseStatus.OK.code()) {
            fail("status " + response.status().code());
        } else if (message instanceof HttpContent content) {
            readDocuments(content.content());
            if (message instanceof LastHttpContent) {
                fail("response ended");
            }
        }
    }

    private void readDocuments(ByteBuf bytes) {
        try {
            while (!closed && bytes.isReadable()) {
                byte[] document = framer.readDocument(bytes);
                if (document != null) {
                    readDocument(document);
                }
            }
        } catch (TooLongFrameException e) {
            fail("document is too long");
        } catch (IOException | InvalidEndpointListException e) {
            fail("invalid document: " + e.getMessage());
        }
    }

    private void readDocument(byte[] document) throws IOException, InvalidEndpointListException {
        if (isBlank(document)) {
            onDocumentReceived();
            listener.onHeartbeat(System.nanoTime());
        } else {
            EndpointList list = decode(document);
            onDocumentReceived();
            listener.onList(list, System.nanoTime());
        }
    }

    private static boolean isBlank(byte[] document) {
        for (byte b : document) {
            if (!Character.isWhitespace(b)) {
                return false;
            }
        }
        return true;
    }

    private EndpointList decode(byte[] document) throws IOException, InvalidEndpointListException {
        try (JsonParser parser = json.createParser(document)) {
            return decoder.decode(parser);
        }
    }

    private void onDocumentReceived() {
        if (!documentReceived) {
            documentReceived = true;
            restartSilenceTimeout(timeouts.silenceUs());
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.error("watch_error", cause);
        }
        fail("connection failed");
    }
}
