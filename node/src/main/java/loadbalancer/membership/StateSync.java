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
import java.util.function.Supplier;
import loadbalancer.membership.codec.BadFrameException;
import loadbalancer.membership.codec.FrameType;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.codec.MembershipView;
import loadbalancer.membership.core.GossipUpdate;

/**
 * Push-pull state syncs over TCP connections: the initiator sends its full state, and the responder sends its own in
 * the response. Each state is one frame with a length prefix of four bytes. Also responds to view requests. Used only
 * on the event loop.
 */
final class StateSync {
    /**
     * Limit of open connections, incoming and outgoing together. An incoming connection beyond it is closed at once,
     * and an outgoing sync beyond it fails. The protocol syncs again later.
     */
    private static final int MAX_CONNECTIONS = 64;

    /** Limit of the time to connect, and of the lifetime of a connection. */
    private static final int TIMEOUT_MILLIS = 5_000;

    private static final int LENGTH_FIELD_BYTES = Integer.BYTES;

    /** Provides the local state and receives the results of syncs. */
    interface Listener {
        /** Returns the full state of this process. */
        List<GossipUpdate> stateSnapshot();

        /** Returns the view of this process, for a client. */
        MembershipView view();

        /** Called with the full state of a peer, pushed or in a response. */
        void onState(List<GossipUpdate> state);

        void onBadFrame(BadFrameException e);

        /** Called for an error of this process, not of the peer. */
        void onError(Throwable cause);

        /** Called when a sync initiated by this process has ended. */
        void onEnd(boolean complete);
    }

    private final EventLoop loop;
    private final MembershipCodec codec;
    private final InetSocketAddress bind;
    private final Listener listener;
    private final Set<Channel> connections = new HashSet<>();
    private Channel serverChannel;

    StateSync(EventLoop loop, MembershipCodec codec, InetSocketAddress bind, Listener listener) {
        this.loop = loop;
        this.codec = codec;
        this.bind = bind;
        this.listener = listener;
    }

    ChannelFuture listen() {
        ChannelFuture listening = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(initializer(ResponderHandler::new))
                .bind(bind);
        serverChannel = listening.channel();
        return listening;
    }

    /** Starts a sync with the process that listens at the address. */
    void start(InetSocketAddress peer) {
        if (connections.size() >= MAX_CONNECTIONS) {
            listener.onEnd(false);
            return;
        }
        // Connects from the configured address, as datagrams do: a firewall may block all other source addresses.
        InetSocketAddress local = new InetSocketAddress(bind.getAddress(), 0);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLIS)
                .handler(initializer(InitiatorHandler::new))
                .connect(peer, local)
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        listener.onEnd(false);
                    }
                });
    }

    private ChannelInitializer<SocketChannel> initializer(Supplier<PeerHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                initialize(channel, handler.get());
            }
        };
    }

    private void initialize(SocketChannel channel, PeerHandler handler) {
        if (connections.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections.add(channel);
        // An idle peer must not occupy a connection for ever.
        Future<?> timeout = loop.schedule(() -> channel.close(), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> {
            timeout.cancel(false);
            connections.remove(channel);
        });
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(
                                MembershipCodec.MAX_FRAME_BYTES + LENGTH_FIELD_BYTES,
                                0,
                                LENGTH_FIELD_BYTES,
                                0,
                                LENGTH_FIELD_BYTES),
                        new LengthFieldPrepender(LENGTH_FIELD_BYTES),
                        handler);
    }

    void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
        List.copyOf(connections).forEach(Channel::close);
    }

    private ByteBuf stateFrame() {
        return Unpooled.wrappedBuffer(codec.encodeState(listener.stateSnapshot()));
    }

    /** Handler of either side. Invalid frames and I/O errors are caused by the peer, not errors of this process. */
    private abstract class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> {
        abstract void onFrame(ChannelHandlerContext context, byte[] frame) throws BadFrameException;

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf message) {
            try {
                onFrame(context, ByteBufUtil.getBytes(message));
            } catch (BadFrameException e) {
                listener.onBadFrame(e);
                context.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof DecoderException) {
                listener.onBadFrame(BadFrameException.badLength());
            } else if (!(cause instanceof IOException)) {
                listener.onError(cause);
            }
            context.close();
        }
    }

    private final class ResponderHandler extends PeerHandler {
        @Override
        void onFrame(ChannelHandlerContext context, byte[] frame) throws BadFrameException {
            if (MembershipCodec.typeOf(frame) == FrameType.VIEW_REQUEST) {
                respond(context, Unpooled.wrappedBuffer(codec.encodeView(listener.view())));
                return;
            }
            List<GossipUpdate> state = codec.decodeState(frame);
            // Responds before merging, so that the response does not repeat the state that the peer has just pushed.
            respond(context, stateFrame());
            listener.onState(state);
        }

        private void respond(ChannelHandlerContext context, ByteBuf frame) {
            context.writeAndFlush(frame).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private final class InitiatorHandler extends PeerHandler {
        private boolean complete;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(stateFrame());
        }

        @Override
        void onFrame(ChannelHandlerContext context, byte[] frame) throws BadFrameException {
            List<GossipUpdate> state = codec.decodeState(frame);
            complete = true;
            context.close();
            listener.onState(state);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.onEnd(complete);
        }
    }
}
