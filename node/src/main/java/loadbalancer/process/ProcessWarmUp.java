package loadbalancer.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.RequestReader;
import loadbalancer.config.NodeConfig;
import loadbalancer.discovery.Endpoint;
import loadbalancer.discovery.EndpointList;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.http.ProtocolHeaders;
import loadbalancer.http.StrictClientCodec;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import loadbalancer.transfer.TransferLimits;

/**
 * Warms up a starting process before it listens for clients: a second node in the same process serves requests from a
 * built-in client to a built-in server. The second node and the server listen on free ports of the IP address that the
 * node will listen on.
 *
 * <p>The warm-up loads and initializes the classes of the request path, links its lambdas, gets its methods compiled,
 * and allocates the first chunks of the buffer pool. The second node shares only the event loop and the code. Its
 * metrics and its record of servers are discarded, and its connections are closed.
 *
 * <p>Without a warm-up, a restart under full load makes requests time out: cold code stalls the event loop for up to 90
 * ms at a time in the first second after the start.
 *
 * <p>{@link #run} blocks the calling thread, which must not be the event loop. The handlers run on the event loop.
 */
final class ProcessWarmUp {
    /**
     * Number of requests: enough to get the methods compiled that every request calls. 600 requests make a restart over
     * a second longer.
     */
    static final int REQUESTS = 200;

    private static final int CONNECTIONS = 4;
    /**
     * Upper bound on the delay of a start with little processor time. Half a core serves only 35 requests in 500 ms
     * while the code is cold. A node that listens before it is warm is as slow, but with clients waiting.
     */
    private static final long MAX_DURATION_MILLIS = 6_000;

    private static final String NAME = "warm-up";
    private static final int BODY_BYTES = 64;

    private final MeasuredEventLoop loop;
    private final List<RequestClass> classes;
    private final CountDownLatch remainingResponses = new CountDownLatch(REQUESTS);

    private ProcessWarmUp(MeasuredEventLoop loop, List<RequestClass> classes) {
        this.loop = loop;
        this.classes = classes;
    }

    /** Serves {@link #REQUESTS} requests, or fewer if the time is up first. Returns the number of requests served. */
    static long run(NodeConfig config, MeasuredEventLoop loop) {
        return new ProcessWarmUp(loop, config.settings().classes).run(config);
    }

    private long run(NodeConfig config) {
        Channel server = startServer(config);
        Node node = new Node(config.isolated(listOf(server)), loop);
        Channel listener = node.start().syncUninterruptibly().channel();
        connectClients((InetSocketAddress) listener.localAddress());
        awaitResponses();
        node.close();
        server.close();
        return REQUESTS - remainingResponses.getCount();
    }

    private Channel startServer(NodeConfig config) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .childHandler(pipeline(true))
                .bind(new InetSocketAddress(config.listenAddress().getAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    private static EndpointList listOf(Channel server) {
        ServerEntry entry = new ServerEntry(NAME, 0, 0, ServerState.READY, 1, 0);
        Endpoint endpoint = new Endpoint(entry, (InetSocketAddress) server.localAddress());
        return new EndpointList(0, true, List.of(endpoint));
    }

    private void connectClients(InetSocketAddress address) {
        Bootstrap client = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .handler(pipeline(false));
        for (int i = 0; i < CONNECTIONS; i++) {
            client.connect(address);
        }
    }

    private void awaitResponses() {
        try {
            remainingResponses.await(MAX_DURATION_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private ChannelInitializer<SocketChannel> pipeline(boolean server) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                ChannelHandler codec = server ? new HttpServerCodec() : new StrictClientCodec();
                channel.pipeline()
                        .addLast(
                                codec,
                                new HttpObjectAggregator(TransferLimits.MAX_BUFFERED_BYTES),
                                server ? new ServerHandler() : new ClientHandler());
            }
        };
    }

    /** Closes the connection on errors: the connection may break when the node closes in the middle of a request. */
    private abstract static class ConnectionHandler<T> extends SimpleChannelInboundHandler<T> {
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Responds to every request with a small body. */
    private static final class ServerHandler extends ConnectionHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
            context.writeAndFlush(response);
        }
    }

    /** Sends requests of each class in turn, each one after the response to the one before. */
    private final class ClientHandler extends ConnectionHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendRequest(context);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            remainingResponses.countDown();
            if (remainingResponses.getCount() > 0) {
                sendRequest(context);
            }
        }

        private void sendRequest(ChannelHandlerContext context) {
            long number = remainingResponses.getCount();
            RequestClass requestClass = classes.get((int) (number % classes.size()));
            boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
            int bodyBytes = idempotent ? 0 : BODY_BYTES;
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    idempotent ? HttpMethod.GET : HttpMethod.POST,
                    RequestReader.REQUEST_ROOT + "/" + NAME,
                    Unpooled.wrappedBuffer(new byte[bodyBytes]));
            request.headers()
                    .set(HttpHeaderNames.HOST, NAME)
                    .set(ProtocolHeaders.REQUEST_ID, Long.toString(number))
                    .set(ProtocolHeaders.REQUEST_CLASS, requestClass.name())
                    .set(ProtocolHeaders.REMAINING_TIME, "1000m")
                    .set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
            if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
                request.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, NAME);
            }
            context.writeAndFlush(request);
        }
    }
}
