package loadbalancer.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import loadbalancer.membership.codec.BadFrameException;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.core.MembershipMessage;

/** Sends and receives the protocol's messages as datagrams. Used only on the event loop. */
final class DatagramEndpoint {
    /** One byte more than the longest message: a longer datagram is truncated, and its checksum does not match. */
    private static final int RECEIVE_BYTES = MembershipCodec.MAX_DATAGRAM_BYTES + 1;

    /** Receives decoded messages and decoding errors. */
    interface Listener {
        void onMessage(MembershipMessage message);

        void onBadFrame(BadFrameException e);
    }

    private final MembershipCodec codec;
    private final MembershipMetrics metrics;
    private final Listener listener;
    private final EventLoop loop;
    private Channel channel;

    DatagramEndpoint(EventLoop loop, MembershipCodec codec, MembershipMetrics metrics, Listener listener) {
        this.codec = codec;
        this.metrics = metrics;
        this.listener = listener;
        this.loop = loop;
    }

    ChannelFuture open(InetSocketAddress address) {
        ChannelFuture opening = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(RECEIVE_BYTES))
                .handler(new ReceiveHandler())
                .bind(address);
        channel = opening.channel();
        return opening;
    }

    /** Sends a message. A datagram that cannot be sent is treated as lost, which the protocol tolerates. */
    void send(InetSocketAddress to, MembershipMessage message) {
        byte[] frame = codec.encode(message);
        metrics.onDatagramSent(frame.length);
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(frame), to));
    }

    void close() {
        channel.close();
    }

    private final class ReceiveHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] frame = ByteBufUtil.getBytes(packet.content());
            metrics.onDatagramReceived(frame.length);
            try {
                listener.onMessage(codec.decode(frame));
            } catch (BadFrameException e) {
                listener.onBadFrame(e);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            MembershipEventLog.onDatagramError(cause);
        }
    }
}
