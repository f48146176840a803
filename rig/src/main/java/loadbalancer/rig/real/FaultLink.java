package loadbalancer.rig.real;

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
 * A way between two parties over TCP that can be hurt: it listens in place of the one and passes on to it
 * what the other sends. Each direction has faults of its own, which hold for what comes from then on. What it
 * cannot do is keep the system from accepting a connection: one that is to say nothing is taken, and then
 * says nothing.
 */
public final class FaultLink implements AutoCloseable {
    /** What a direction holds that is under way; beyond it, it reads no more. */
    private static final int MAX_QUEUED_BYTES = 1 << 20;
    /** Pieces in which a trickle comes, a second. */
    private static final int PIECES_PER_S = 50;

    /** Which way bytes go. */
    public enum Way {
        TO_TARGET,
        FROM_TARGET
    }

    /**
     * What is wrong with a direction.
     *
     * @param silent nothing comes through until that is over; what was sent meanwhile comes then, as TCP
     *    sends it again
     * @param delayUs how much longer everything takes
     * @param jitterUs and up to so much more; order is kept
     * @param bytesPerSecond no more than this; 0 for no limit
     * @param resetAfter the connection breaks once so many bytes of it have come through, amid whatever they
     *    are; 0 for never
     * @param halfOpen an end of the connection on one side is not told on the other
     */
    public record Faults(
            boolean silent, long delayUs, long jitterUs, long bytesPerSecond, long resetAfter, boolean halfOpen) {
        public static final Faults NONE = new Faults(false, 0, 0, 0, 0, false);
        public static final Faults SILENT = new Faults(true, 0, 0, 0, 0, true);

        public static Faults delayed(long us, long jitterUs) {
            return new Faults(false, us, jitterUs, 0, 0, false);
        }

        public static Faults trickling(long bytesPerSecond) {
            return new Faults(false, 0, 0, bytesPerSecond, 0, false);
        }

        public static Faults breakingAfter(long bytes) {
            return new Faults(false, 0, 0, 0, bytes, false);
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final SplittableRandom random;
    private final Map<Way, Faults> faults = new EnumMap<>(Way.class);
    private final Set<Passage> passages = new HashSet<>();
    private final InetAddress at;
    private final int port;
    private Channel listening;
    private Predicate<InetAddress> cut = from -> false;
    private UnaryOperator<ByteBuf> tampered = UnaryOperator.identity();
    private Way tamperedWay = Way.FROM_TARGET;

    /** Listens at this address; called from outside the loop. */
    public FaultLink(EventLoop loop, String address, InetSocketAddress target, SplittableRandom random) {
        this.loop = loop;
        this.target = target;
        this.random = random;
        for (Way way : Way.values()) {
            faults.put(way, Faults.NONE);
        }
        at = new InetSocketAddress(address, 0).getAddress();
        listening = listen(0).syncUninterruptibly().channel();
        port = ((InetSocketAddress) listening.localAddress()).getPort();
    }

    private ChannelFuture listen(int on) {
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
                .bind(at, on);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(at, port);
    }

    /**
     * Whether it takes connections, as the party behind it does. It keeps its port, and connections that
     * stand go on.
     */
    public void setOpen(boolean to) {
        loop.execute(() -> {
            if (!to) {
                listening.close();
            } else if (!listening.isOpen()) {
                listening = listen(port)
                        .addListener(opened -> {
                            if (!opened.isSuccess()) {
                                throw new IllegalStateException("cannot listen at " + address(), opened.cause());
                            }
                        })
                        .channel();
            }
        });
    }

    /** From now on what goes this way is changed so; it takes over what it is given, for what it gives. */
    public void tamper(Way way, UnaryOperator<ByteBuf> by) {
        loop.execute(() -> {
            tamperedWay = way;
            tampered = by;
        });
    }

    /** From now on this holds for one direction of all connections. */
    public void set(Way way, Faults to) {
        loop.execute(() -> {
            faults.put(way, to);
            passages.stream().filter(passage -> passage.way == way).forEach(Passage::pass);
        });
    }

    /** The same for both. */
    public void set(Faults to) {
        for (Way way : Way.values()) {
            set(way, to);
        }
    }

    /** Connections that come from these say nothing, from now on: those that stand and new ones. */
    public void cut(Predicate<InetAddress> from) {
        loop.execute(() -> {
            cut = from;
            passages.forEach(Passage::pass);
        });
    }

    /** Breaks all connections. */
    public void reset() {
        loop.execute(() -> Set.copyOf(passages).forEach(Passage::reset));
    }

    private void connect(SocketChannel from) {
        InetAddress source = from.remoteAddress().getAddress();
        Passage there = new Passage(Way.TO_TARGET, from, source);
        from.pipeline().addLast(there);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel to) {
                        Passage back = new Passage(Way.FROM_TARGET, to, source);
                        to.pipeline().addLast(back);
                        there.to = to;
                        back.to = from;
                        passages.add(back);
                    }
                })
                .connect(target)
                .addListener(done -> {
                    if (done.isSuccess()) {
                        passages.add(there);
                        there.pass();
                        there.to.pipeline().get(Passage.class).pass();
                    } else {
                        from.close();
                    }
                });
    }

    /** One direction of one connection. */
    private final class Passage extends ChannelInboundHandlerAdapter {
        private final Way way;
        private final SocketChannel from;
        /** Where the connection came from. */
        private final InetAddress source;

        private SocketChannel to;
        /** What has come and is not through yet, each with when it may be. */
        private final ArrayDeque<Piece> held = new ArrayDeque<>();

        private int heldBytes;
        private long lastDueNanos;
        private long passed;
        private boolean ended;
        private boolean planned;

        private record Piece(long dueNanos, ByteBuf bytes) {}

        Passage(Way way, SocketChannel from, InetAddress source) {
            this.way = way;
            this.from = from;
            this.source = source;
        }

        private Faults now() {
            return cut.test(source) ? Faults.SILENT : faults.get(way);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = way == tamperedWay ? tampered.apply((ByteBuf) message) : (ByteBuf) message;
            long jitter = now().jitterUs() == 0 ? 0 : random.nextLong(now().jitterUs());
            lastDueNanos =
                    Math.max(lastDueNanos, System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(now().delayUs() + jitter));
            heldBytes += bytes.readableBytes();
            held.add(new Piece(lastDueNanos, bytes));
            pass();
        }

        /** Lets through what may go, and looks again when more may. */
        void pass() {
            if (to == null) {
                return;
            }
            from.config().setAutoRead(!now().silent() && heldBytes < MAX_QUEUED_BYTES);
            long nowNanos = System.nanoTime();
            int budget = now().bytesPerSecond() == 0
                    ? Integer.MAX_VALUE
                    : (int) Math.max(1, now().bytesPerSecond() / PIECES_PER_S);
            while (!now().silent() && !planned && budget > 0 && !held.isEmpty() && held.peek().dueNanos <= nowNanos) {
                budget -= passSome(budget);
            }
            if (!held.isEmpty() && !planned && !now().silent()) {
                planned = true;
                long waitNanos = Math.max(
                        held.peek().dueNanos - nowNanos, budget > 0 ? 0 : TimeUnit.SECONDS.toNanos(1) / PIECES_PER_S);
                loop.schedule(
                        () -> {
                            planned = false;
                            pass();
                        },
                        waitNanos,
                        TimeUnit.NANOSECONDS);
            }
            if (ended && held.isEmpty() && !now().halfOpen()) {
                to.close();
            }
        }

        private int passSome(int most) {
            ByteBuf bytes = held.peek().bytes;
            int length = Math.min(most, bytes.readableBytes());
            boolean breaks = now().resetAfter() > 0 && passed + length >= now().resetAfter();
            length = breaks ? (int) Math.max(0, now().resetAfter() - passed) : length;
            passed += length;
            heldBytes -= length;
            to.writeAndFlush(bytes.readRetainedSlice(length)).addListener(written -> {
                if (breaks) {
                    reset();
                }
            });
            if (breaks) {
                releaseAll();
            } else if (!bytes.isReadable()) {
                held.poll().bytes.release();
            }
            return Math.max(1, length);
        }

        private void releaseAll() {
            held.forEach(piece -> piece.bytes.release());
            held.clear();
            heldBytes = 0;
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
            ended = true;
            pass();
            if (to == null) {
                releaseAll();
            } else {
                to.closeFuture().addListener(closed -> {
                    releaseAll();
                    passages.remove(this);
                });
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A party that breaks the connection: the other is told so, unless it is not to hear.
            if (to != null && !now().halfOpen()) {
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
