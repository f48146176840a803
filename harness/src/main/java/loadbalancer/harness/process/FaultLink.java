package loadbalancer.harness.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * A TCP proxy that injects faults: it listens in place of its target and forwards the bytes of both directions. Each
 * direction has its own faults. A delay applies to bytes that arrive after it is set, the other faults also apply to
 * bytes that are already queued. The link cannot keep the operating system from accepting a connection: a blocked
 * connection is accepted, and nothing is forwarded on it.
 *
 * <p>Faults are applied on the event loop; the setters may be called from any thread.
 */
public final class FaultLink implements AutoCloseable {
    /** Maximum number of bytes that a direction buffers; at this limit it stops reading. */
    private static final int MAX_QUEUED_BYTES = 1 << 20;
    /** Number of chunks per second in which a rate-limited direction forwards bytes. */
    private static final int CHUNKS_PER_S = 50;

    /** The direction of bytes, as seen from the link. */
    public enum Direction {
        TO_TARGET,
        FROM_TARGET
    }

    /**
     * The faults of one direction.
     *
     * @param blocked nothing is forwarded until this is lifted; bytes that were sent meanwhile are forwarded then, like
     *    TCP retransmissions
     * @param delayUs additional delay
     * @param jitterUs exclusive upper bound of a random delay added to {@code delayUs}; order is kept; 0 for none
     * @param bytesPerSecond rate limit; 0 for none
     * @param resetAfterBytes number of bytes after which the connection is reset, even within a message; 0 for never
     * @param halfOpen whether a close or reset of one side is not passed on to the other
     */
    public record Faults(
            boolean blocked, long delayUs, long jitterUs, long bytesPerSecond, long resetAfterBytes, boolean halfOpen) {
        public static final Faults NONE = new Faults(false, 0, 0, 0, 0, false);
        public static final Faults BLOCKED = new Faults(true, 0, 0, 0, 0, true);

        public static Faults delayed(long delayUs, long jitterUs) {
            return new Faults(false, delayUs, jitterUs, 0, 0, false);
        }

        public static Faults rateLimited(long bytesPerSecond) {
            return new Faults(false, 0, 0, bytesPerSecond, 0, false);
        }

        public static Faults resettingAfter(long bytes) {
            return new Faults(false, 0, 0, 0, bytes, false);
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final Map<Direction, Faults> faults = new EnumMap<>(Direction.class);
    private final Set<Relay> relays = new HashSet<>();
    private final InetAddress bindAddress;
    private final int port;
    private Channel serverChannel;
    private Predicate<InetAddress> blockedSources = from -> false;
    private UnaryOperator<ByteBuf> transform = UnaryOperator.identity();
    private Direction transformedDirection = Direction.FROM_TARGET;

    /** Listens at this address, on a port that the system chooses, and waits for it; must not be called on the loop. */
    public FaultLink(EventLoop loop, String address, InetSocketAddress target, SplittableRandom random) {
        this.loop = loop;
        this.target = target;
        this.random = random;
        for (Direction direction : Direction.values()) {
            faults.put(direction, Faults.NONE);
        }
        bindAddress = new InetSocketAddress(address, 0).getAddress();
        serverChannel = listen(0).syncUninterruptibly().channel();
        port = ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    private ChannelFuture listen(int listenPort) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        connect(channel);
                    }
                })
                .bind(bindAddress, listenPort);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(bindAddress, port);
    }

    /**
     * Starts or stops accepting connections, to match whether the target does. The port is kept, and established
     * connections stay open.
     */
    public void setOpen(boolean isOpen) {
        loop.execute(() -> {
            if (!isOpen) {
                serverChannel.close();
            } else if (!serverChannel.isOpen()) {
                serverChannel = listen(port)
                        .addListener(opened -> {
                            if (!opened.isSuccess()) {
                                throw new IllegalStateException("cannot listen at " + address(), opened.cause());
                            }
                        })
                        .channel();
            }
        });
    }

    /** Transforms the bytes of one direction from now on. The function owns its argument, the caller its result. */
    public void tamper(Direction direction, UnaryOperator<ByteBuf> function) {
        loop.execute(() -> {
            transformedDirection = direction;
            transform = function;
        });
    }

    /** Sets the faults of one direction of all connections, present and new. */
    public void set(Direction direction, Faults newFaults) {
        loop.execute(() -> {
            faults.put(direction, newFaults);
            relays.stream().filter(relay -> relay.direction == direction).forEach(Relay::forward);
        });
    }

    /** Sets the faults of both directions. */
    public void set(Faults newFaults) {
        for (Direction direction : Direction.values()) {
            set(direction, newFaults);
        }
    }

    /** Blocks both directions of connections from these sources from now on, present and new, and of no others. */
    public void blockFrom(Predicate<InetAddress> from) {
        loop.execute(() -> {
            blockedSources = from;
            relays.forEach(Relay::forward);
        });
    }

    /** Resets all connections. */
    public void reset() {
        loop.execute(() -> Set.copyOf(relays).forEach(Relay::reset));
    }

    private void connect(SocketChannel from) {
        InetAddress source = from.remoteAddress().getAddress();
        Relay outbound = new Relay(Direction.TO_TARGET, from, source);
        from.pipeline().addLast(outbound);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel to) {
                        Relay inbound = new Relay(Direction.FROM_TARGET, to, source);
                        to.pipeline().addLast(inbound);
                        outbound.to = to;
                        inbound.to = from;
                        relays.add(inbound);
                    }
                })
                .connect(target)
                .addListener(done -> {
                    if (done.isSuccess()) {
                        relays.add(outbound);
                        outbound.forward();
                        outbound.to.pipeline().get(Relay.class).forward();
                    } else {
                        from.close();
                    }
                });
    }

    /** One direction of one connection. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Direction direction;
        private final SocketChannel from;
        /** The address that the connection was opened from. */
        private final InetAddress source;

        private SocketChannel to;
        /** Bytes that have been received and not forwarded yet, with the earliest time to forward them. */
        private final ArrayDeque<Chunk> queued = new ArrayDeque<>();

        private int queuedBytes;
        private long lastDueNanos;
        private long forwardedBytes;
        private boolean inactive;
        private boolean scheduled;

        private record Chunk(long dueNanos, ByteBuf bytes) {}

        Relay(Direction direction, SocketChannel from, InetAddress source) {
            this.direction = direction;
            this.from = from;
            this.source = source;
        }

        private Faults faults() {
            return blockedSources.test(source) ? Faults.BLOCKED : faults.get(direction);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = direction == transformedDirection ? transform.apply((ByteBuf) message) : (ByteBuf) message;
            long jitter = faults().jitterUs() == 0 ? 0 : random.nextLong(faults().jitterUs());
            lastDueNanos = Math.max(
                    lastDueNanos, System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(faults().delayUs() + jitter));
            queuedBytes += bytes.readableBytes();
            queued.add(new Chunk(lastDueNanos, bytes));
            forward();
        }

        /** Forwards the bytes that are due, and schedules the next call for the rest. */
        void forward() {
            if (to == null) {
                return;
            }
            from.config().setAutoRead(!faults().blocked() && queuedBytes < MAX_QUEUED_BYTES);
            long nowNanos = System.nanoTime();
            int budget = faults().bytesPerSecond() == 0
                    ? Integer.MAX_VALUE
                    : (int) Math.max(1, faults().bytesPerSecond() / CHUNKS_PER_S);
            while (!faults().blocked()
                    && !scheduled
                    && budget > 0
                    && !queued.isEmpty()
                    && queued.peek().dueNanos <= nowNanos) {
                budget -= forwardChunk(budget);
            }
            if (!queued.isEmpty() && !scheduled && !faults().blocked()) {
                scheduled = true;
                long waitNanos = Math.max(
                        queued.peek().dueNanos - nowNanos, budget > 0 ? 0 : TimeUnit.SECONDS.toNanos(1) / CHUNKS_PER_S);
                loop.schedule(
                        () -> {
                            scheduled = false;
                            forward();
                        },
                        waitNanos,
                        TimeUnit.NANOSECONDS);
            }
            if (inactive && queued.isEmpty() && !faults().halfOpen()) {
                to.close();
            }
        }

        private int forwardChunk(int maxBytes) {
            ByteBuf bytes = queued.peek().bytes;
            int length = Math.min(maxBytes, bytes.readableBytes());
            boolean resets = faults().resetAfterBytes() > 0 && forwardedBytes + length >= faults().resetAfterBytes();
            length = resets ? (int) Math.max(0, faults().resetAfterBytes() - forwardedBytes) : length;
            forwardedBytes += length;
            queuedBytes -= length;
            to.writeAndFlush(bytes.readRetainedSlice(length)).addListener(written -> {
                if (resets) {
                    reset();
                }
            });
            if (resets) {
                releaseAll();
            } else if (!bytes.isReadable()) {
                queued.poll().bytes.release();
            }
            return Math.max(1, length);
        }

        private void releaseAll() {
            queued.forEach(chunk -> chunk.bytes.release());
            queued.clear();
            queuedBytes = 0;
        }

        void reset() {
            for (SocketChannel end : to == null ? new SocketChannel[] {from} : new SocketChannel[] {from, to}) {
                if (end.isActive()) {
                    end.config().setSoLinger(0);
                    end.close();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            inactive = true;
            forward();
            if (to == null) {
                releaseAll();
            } else {
                to.closeFuture().addListener(closed -> {
                    releaseAll();
                    relays.remove(this);
                });
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // One side has reset the connection: the reset is passed on, unless the link is half open.
            if (to != null && !faults().halfOpen()) {
                reset();
            }
        }
    }

    @Override
    public void close() {
        setOpen(false);
        reset();
    }
}
