package loadbalancer.rig.real;

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
import loadbalancer.policy.Idempotency;
import loadbalancer.rig.scenario.Scenario;
import loadbalancer.rig.world.NodePort.Answer;
import loadbalancer.rig.world.NodePort.Try;

/** The connections on which clients ask one node; they keep them, and open more when all are busy. */
final class NodeClients {
    private static final int MOST_BODY = 32 << 20;
    private static final int BODY = 64;

    private final Bootstrap dialer;
    private final InetSocketAddress to;
    private final List<Scenario.RequestClass> classes;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final Map<Long, Connection> busy = new HashMap<>();

    /** How one request came back. */
    interface Heard {
        /** It has been written whole to a connection that the node's machine accepted. */
        void taken();

        /** Its end; {@code alien} if what came was made for another request. */
        void ended(Answer answer, boolean alien);
    }

    NodeClients(EventLoop loop, InetSocketAddress to, List<Scenario.RequestClass> classes) {
        this.to = to;
        this.classes = classes;
        dialer = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MOST_BODY),
                                        new Connection(channel));
                    }
                });
    }

    void ask(Try asked, Heard heard) {
        Connection free = idle.poll();
        if (free != null) {
            free.ask(asked, heard);
            return;
        }
        dialer.connect(to).addListener(done -> {
            if (done.isSuccess()) {
                ((ChannelFuture) done)
                        .channel()
                        .pipeline()
                        .get(Connection.class)
                        .ask(asked, heard);
            } else {
                heard.ended(Answer.UNREACHABLE, false);
            }
        });
    }

    /** The client of this request closes its connection. */
    void leave(long id) {
        Connection on = busy.remove(id);
        if (on != null) {
            on.heard = null;
            on.channel.close();
        }
    }

    /** Closes what is idle; what is not ends with its answer. */
    void closeIdle() {
        idle.forEach(connection -> connection.channel.close());
        idle.clear();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Channel channel;
        private Try asked;
        private Heard heard;
        private boolean taken;

        Connection(Channel channel) {
            this.channel = channel;
        }

        void ask(Try next, Heard by) {
            asked = next;
            heard = by;
            taken = false;
            busy.put(next.id(), this);
            channel.writeAndFlush(message(next)).addListener(written -> {
                if (written.isSuccess() && heard == by) {
                    taken = true;
                    by.taken();
                }
            });
        }

        private FullHttpRequest message(Try next) {
            Scenario.RequestClass cls = classes.get(next.classIndex());
            boolean safe = cls.idempotency() == Idempotency.IDEMPOTENT;
            FullHttpRequest message = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/api/" + (next.key() == null ? "any" : next.key()),
                    Unpooled.wrappedBuffer(new byte[safe ? 0 : BODY]));
            message.headers()
                    .set(HttpHeaderNames.HOST, "backend.local")
                    .set("X-Txn", ClientRequest.txn(next.id()))
                    .set("X-Lane", cls.name())
                    .set("X-Remaining", next.remainingUs() + "u");
            if (!safe) {
                message.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY);
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
            boolean alien = ok
                    && !response.content().toString(StandardCharsets.US_ASCII).equals(ClientRequest.txn(asked.id()));
            Heard by = heard;
            busy.remove(asked.id());
            heard = null;
            if (HttpUtil.isKeepAlive(response)) {
                idle.push(this);
            } else {
                channel.close();
            }
            if (by != null) {
                by.ended(ok ? Answer.OK : status == 429 || status == 503 ? Answer.REFUSED : Answer.FAILED, alien);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(this);
            Heard by = heard;
            heard = null;
            if (by != null) {
                busy.remove(asked.id());
                by.ended(taken ? Answer.BROKEN : Answer.UNREACHABLE, false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A node that is killed resets its connections.
            channel.close();
        }
    }
}
