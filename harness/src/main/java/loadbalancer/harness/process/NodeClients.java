package loadbalancer.harness.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.NodePort.ClientRequest;
import loadbalancer.harness.simulation.NodePort.RequestResult;
import loadbalancer.policy.Idempotency;

/** The connections of clients to one node. Connections are kept alive, and more are opened when all are busy. */
final class NodeClients {
    private static final int MAX_RESPONSE_BYTES = 32 << 20;
    private static final int REQUEST_BODY_BYTES = 64;

    private final Bootstrap bootstrap;
    private final InetSocketAddress nodeAddress;
    private final List<Scenario.RequestClass> classes;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final Map<Long, Connection> busy = new HashMap<>();

    /** Receives the progress of one request. */
    interface ResponseHandler {
        /** The request was written completely to a connection that the node's machine accepted. */
        void onWritten();

        /** The request has ended; {@code misdirected} if the response belongs to another request. */
        void onEnd(RequestResult result, boolean misdirected);
    }

    NodeClients(EventLoop loop, InetSocketAddress nodeAddress, List<Scenario.RequestClass> classes) {
        this.nodeAddress = nodeAddress;
        this.classes = classes;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                                        new Connection(channel));
                    }
                });
    }

    void send(ClientRequest request, ResponseHandler handler) {
        Connection idleConnection = idle.poll();
        if (idleConnection != null) {
            idleConnection.send(request, handler);
            return;
        }
        bootstrap.connect(nodeAddress).addListener(done -> {
            if (done.isSuccess()) {
                ((ChannelFuture) done)
                        .channel()
                        .pipeline()
                        .get(Connection.class)
                        .send(request, handler);
            } else {
                handler.onEnd(RequestResult.UNREACHABLE, false);
            }
        });
    }

    /** Closes the connection of this request, as a client that disconnects does. */
    void disconnect(long id) {
        Connection connection = busy.remove(id);
        if (connection != null) {
            connection.handler = null;
            connection.channel.close();
        }
    }

    /** Closes idle connections. Busy ones close after a response that ends keep-alive. */
    void closeIdle() {
        idle.forEach(connection -> connection.channel.close());
        idle.clear();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private ClientRequest request;
        private ResponseHandler handler;
        private boolean written;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void send(ClientRequest next, ResponseHandler sender) {
            request = next;
            handler = sender;
            written = false;
            busy.put(next.id(), this);
            channel.writeAndFlush(message(next)).addListener(write -> {
                if (write.isSuccess() && handler == sender) {
                    written = true;
                    sender.onWritten();
                }
            });
        }

        private FullHttpRequest message(ClientRequest next) {
            Scenario.RequestClass cls = classes.get(next.classIndex());
            boolean idempotent = cls.idempotency() == Idempotency.IDEMPOTENT;
            FullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    idempotent ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + (next.key() == null ? "any" : next.key()),
                    Unpooled.wrappedBuffer(new byte[idempotent ? 0 : REQUEST_BODY_BYTES]));
            message.headers()
                    .set(HttpHeaderNames.HOST, "backend.local")
                    .set("X-Txn", RequestRegistry.txn(next.id()))
                    .set("X-Lane", cls.name())
                    .set("X-Remaining", next.remainingUs() + "u");
            if (!idempotent) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, REQUEST_BODY_BYTES);
            }
            if (next.repeat()) {
                message.headers().set("X-Resent", "1");
            }
            return message;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            int status = response.status().code();
            boolean ok = status == 200;
            boolean misdirected = ok
                    && !response.content()
                            .toString(StandardCharsets.US_ASCII)
                            .equals(RequestRegistry.txn(request.id()));
            ResponseHandler sender = handler;
            busy.remove(request.id());
            handler = null;
            if (HttpUtil.isKeepAlive(response)) {
                idle.push(this);
            } else {
                channel.close();
            }
            if (sender != null) {
                sender.onEnd(
                        ok
                                ? RequestResult.OK
                                : status == 429 || status == 503 ? RequestResult.REFUSED : RequestResult.FAILED,
                        misdirected);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            ResponseHandler sender = handler;
            handler = null;
            if (sender != null) {
                busy.remove(request.id());
                sender.onEnd(written ? RequestResult.BROKEN : RequestResult.UNREACHABLE, false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A killed node resets its connections.
            channel.close();
        }
    }
}
