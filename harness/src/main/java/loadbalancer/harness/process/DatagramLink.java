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
 * A UDP proxy that injects faults: it listens in place of its target and forwards each datagram. Senders are
 * distinguished by their source address, so each member needs an address of its own.
 *
 * <p>Faults are applied on the event loop; the setters may be called from any thread.
 */
public final class DatagramLink implements AutoCloseable {
    /** Maximum number of datagrams in flight; further datagrams are dropped, as by a full buffer. */
    private static final int MAX_IN_FLIGHT = 10_000;

    /**
     * The faults of the link.
     *
     * @param dropShare share of datagrams that are dropped
     * @param duplicateShare share of datagrams that are delivered twice
     * @param delayUs additional delay
     * @param jitterUs exclusive upper bound of a random delay added to each datagram; it can reorder datagrams; 0 for
     *    none
     */
    public record Faults(double dropShare, double duplicateShare, long delayUs, long jitterUs) {
        public static final Faults NONE = new Faults(0, 0, 0, 0);
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final Channel channel;
    private Faults faults = Faults.NONE;
    private Predicate<InetAddress> blockedSources = from -> false;
    private int inFlight;

    /** Binds to this address and waits for it; must not be called on the loop. */
    public DatagramLink(EventLoop loop, InetSocketAddress address, InetSocketAddress target, SplittableRandom random) {
        this.loop = loop;
        this.target = target;
        this.random = random;
        channel = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                        onDatagram(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                        // The target is not listening at the moment: datagrams to it are lost.
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    public void set(Faults newFaults) {
        loop.execute(() -> faults = newFaults);
    }

    /** Drops datagrams from these senders from now on, and from no others. */
    public void blockFrom(Predicate<InetAddress> from) {
        loop.execute(() -> blockedSources = from);
    }

    private void onDatagram(DatagramPacket packet) {
        if (blockedSources.test(packet.sender().getAddress()) || random.nextDouble() < faults.dropShare()) {
            return;
        }
        for (int i = random.nextDouble() < faults.duplicateShare() ? 2 : 1; i > 0 && inFlight < MAX_IN_FLIGHT; i--) {
            ByteBuf bytes = packet.content().copy();
            long jitterUs = faults.jitterUs() == 0 ? 0 : random.nextLong(faults.jitterUs());
            inFlight++;
            loop.schedule(
                    () -> {
                        inFlight--;
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
