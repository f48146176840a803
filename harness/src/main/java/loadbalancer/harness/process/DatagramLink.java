package loadbalancer.harness.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * The way to one party over UDP, which can be hurt: it listens in place of that party and passes on what
 * comes. Who has sent is told by the address that it sent from, so each party needs one of its own.
 */
public final class DatagramLink implements AutoCloseable {
    /** Datagrams under way; what comes beyond is lost, as in a full buffer. */
    private static final int MAX_QUEUED = 10_000;

    /**
     * What is wrong.
     *
     * @param lost this share does not come through
     * @param doubled this share comes twice
     * @param delayUs how much longer it takes
     * @param jitterUs and up to so much more, each datagram by itself: order is lost
     */
    public record Faults(double lost, double doubled, long delayUs, long jitterUs) {
        public static final Faults NONE = new Faults(0, 0, 0, 0);
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final Channel channel;
    private Faults faults = Faults.NONE;
    private Predicate<InetAddress> cut = from -> false;
    private int held;

    /** Listens at this address; called from outside the loop. */
    public DatagramLink(EventLoop loop, InetSocketAddress at, InetSocketAddress target, SplittableRandom random) {
        this.loop = loop;
        this.target = target;
        this.random = random;
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        came(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // Nobody listens at the target just now: what is sent there is lost.
                    }
                })
                .bind(at)
                .syncUninterruptibly()
                .channel();
    }

    public void set(Faults to) {
        loop.execute(() -> faults = to);
    }

    /** From now on nothing comes through from these. */
    public void cut(Predicate<InetAddress> from) {
        loop.execute(() -> cut = from);
    }

    private void came(DatagramPacket packet) {
        if (cut.test(packet.sender().getAddress()) || random.nextDouble() < faults.lost()) {
            return;
        }
        for (int i = random.nextDouble() < faults.doubled() ? 2 : 1; i > 0 && held < MAX_QUEUED; i--) {
            ByteBuf bytes = packet.content().copy();
            long jitterUs = faults.jitterUs() == 0 ? 0 : random.nextLong(faults.jitterUs());
            held++;
            loop.schedule(
                    () -> {
                        held--;
                        channel.writeAndFlush(new DatagramPacket(bytes, target));
                    },
                    faults.delayUs() + jitterUs,
                    TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        channel.close();
    }
}
