package loadbalancer.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.membership.codec.BadFrameException;
import loadbalancer.membership.codec.BadFrameException.Reason;
import loadbalancer.membership.codec.FrameType;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.core.GossipUpdate;

/**
 * Connections on which members tell each other all that they know: one frame there, one back, each behind its
 * length in four bytes.
 */
final class StateSync {
    /** Connections at a time, both ways; what comes beyond is closed, and repair comes again by itself. */
    private static final int MOST_OPEN = 64;

    private static final int MOST_MS = 5_000;
    private static final int LENGTH = Integer.BYTES;

    /** Whose they are. */
    interface Owner {
        /** All that this process knows, as it is now. */
        byte[] state();

        /** How it sees its fleet, for whoever looks from outside. */
        byte[] view();

        /** Another has told all that it knows. */
        void heard(List<GossipUpdate> all);

        /** What came was no message of this fleet. */
        void bad(Reason reason);

        /** A defect of this process. */
        void failed(Throwable cause);

        /** An exchange that began here has ended. */
        void ended(boolean whole);
    }

    private final EventLoop loop;
    private final MembershipCodec codec;
    private final InetSocketAddress bind;
    private final Owner owner;
    private final Set<Channel> open = new HashSet<>();
    private Channel listening;

    StateSync(EventLoop loop, MembershipCodec codec, InetSocketAddress bind, Owner owner) {
        this.loop = loop;
        this.codec = codec;
        this.bind = bind;
        this.owner = owner;
    }

    ChannelFuture listen() {
        ChannelFuture opening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        prepare(channel, new Answering());
                    }
                })
                .bind(bind);
        listening = opening.channel();
        return opening;
    }

    /** With whoever listens there. */
    void begin(InetSocketAddress to) {
        if (open.size() >= MOST_OPEN) {
            owner.ended(false);
            return;
        }
        // From the configured address, as all that goes out.
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, MOST_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        prepare(channel, new Asking());
                    }
                })
                .connect(to, new InetSocketAddress(bind.getAddress(), 0))
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        owner.ended(false);
                    }
                });
    }

    private void prepare(SocketChannel channel, SimpleChannelInboundHandler<ByteBuf> handler) {
        if (open.size() >= MOST_OPEN) {
            channel.close();
            return;
        }
        open.add(channel);
        Future<?> end = loop.schedule(() -> channel.close(), MOST_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> {
            end.cancel(false);
            open.remove(channel);
        });
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MembershipCodec.MAX_FRAME_BYTES + LENGTH, 0, LENGTH, 0, LENGTH),
                        new LengthFieldPrepender(LENGTH),
                        handler);
    }

    void close() {
        if (listening != null) {
            listening.close();
        }
        List.copyOf(open).forEach(Channel::close);
    }

    /** What both ends have in common: a peer that errs or goes is no defect of ours. */
    private abstract class End extends SimpleChannelInboundHandler<ByteBuf> {
        abstract void came(ChannelHandlerContext context, byte[] frame) throws BadFrameException;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
            try {
                came(context, ByteBufUtil.getBytes(message));
            } catch (BadFrameException e) {
                owner.bad(e.reason());
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException) {
                owner.bad(Reason.MALFORMED);
            } else if (!(cause instanceof IOException)) {
                owner.failed(cause);
            }
            context.close();
        }
    }

    private final class Answering extends End {
        @Override
        void came(ChannelHandlerContext context, byte[] frame) throws BadFrameException {
            boolean looks = MembershipCodec.typeOf(frame) == FrameType.VIEW_REQUEST;
            List<GossipUpdate> told = looks ? List.of() : codec.decodeState(frame);
            context.writeAndFlush(Unpooled.wrappedBuffer(looks ? owner.view() : owner.state()))
                    .addListener(ChannelFutureListener.CLOSE);
            if (!looks) {
                owner.heard(told);
            }
        }
    }

    private final class Asking extends End {
        private boolean whole;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(Unpooled.wrappedBuffer(owner.state()));
        }

        @Override
        void came(ChannelHandlerContext context, byte[] frame) throws BadFrameException {
            List<GossipUpdate> told = codec.decodeState(frame);
            whole = true;
            context.close();
            owner.heard(told);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            owner.ended(whole);
        }
    }
}
