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
 * A TCP proxy that injects faults between two parties: it listens in place of the one and forwards to it
 * what the other sends. Each direction has faults of its own, which hold for what comes from then on. What it
 * cannot do is keep the system from accepting a connection: one that is to say nothing is taken, and then
 * says nothing.
 */
public final class FaultLink implements AutoCloseable {
    /** How many bytes a direction buffers; at this limit it stops reading. */
    private static final int MAX_QUEUED_BYTES = 1 << 20;
    /** Pieces in which a trickle comes, a second. */
    private static final int PIECES_PER_S = 50;

    /** The direction in which bytes go. */
    public enum Direction {
        TO_TARGET,
        FROM_TARGET
    }

    /**
     * The faults of one direction.
     *
     * @param blocked nothing comes through until that is over; what was sent meanwhile comes then, as TCP
     *    sends it again
     * @param delayUs the delay of everything
     * @param jitterUs and up to this much more at random; order is kept
     * @param bytesPerSecond no more than this; 0 for no limit
     * @param resetAfter the connection breaks once so many bytes of it have come through, amid whatever they
     *    are; 0 for never
     * @param halfOpen the close of the connection on one side is not passed on to the other
     */
    public record Faults(
            boolean blocked, long delayUs, long jitterUs, long bytesPerSecond, long resetAfter, boolean halfOpen) {
        public static final Faults NONE = new Faults(false, 0, 0, 0, 0, false);
        public static final Faults BLOCKED = new Faults(true, 0, 0, 0, 0, true);

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
    private final Map<Direction, Faults> faults = new EnumMap<>(Direction.class);
    private final Set<Tunnel> tunnels = new HashSet<>();
    private final InetAddress at;
    private final int port;
    private Channel listening;
    private Predicate<InetAddress> cut = from -> false;
    private UnaryOperator<ByteBuf> tampered = UnaryOperator.identity();
    private Direction tamperedDirection = Direction.FROM_TARGET;

    /** Listens at this address; called from outside the loop. */
    public FaultLink(EventLoop loop, String address, InetSocketAddress target, SplittableRandom random) {
        this.loop = loop;
        this.target = target;
        this.random = random;
        for (Direction direction : Direction.values()) {
            faults.put(direction, Faults.NONE);
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

    /** From now on what goes this direction is changed so; it takes over what it is given, for what it gives. */
    public void tamper(Direction direction, UnaryOperator<ByteBuf> by) {
        loop.execute(() -> {
            tamperedDirection = direction;
            tampered = by;
        });
    }

    /** From now on this holds for one direction of all connections. */
    public void set(Direction direction, Faults to) {
        loop.execute(() -> {
            faults.put(direction, to);
            tunnels.stream().filter(tunnel -> tunnel.direction == direction).forEach(Tunnel::pass);
        });
    }

    /** The same for both. */
    public void set(Faults to) {
        for (Direction direction : Direction.values()) {
            set(direction, to);
        }
    }

    /** Connections that come from these say nothing, from now on: those that stand and new ones. */
    public void cut(Predicate<InetAddress> from) {
        loop.execute(() -> {
            cut = from;
            tunnels.forEach(Tunnel::pass);
        });
    }

    /** Breaks all connections. */
    public void reset() {
        loop.execute(() -> Set.copyOf(tunnels).forEach(Tunnel::reset));
    }

    private void connect(SocketChannel from) {
        InetAddress source = from.remoteAddress().getAddress();
        Tunnel there = new Tunnel(Direction.TO_TARGET, from, source);
        from.pipeline().addLast(there);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel to) {
                        Tunnel back = new Tunnel(Direction.FROM_TARGET, to, source);
                        to.pipeline().addLast(back);
                        there.to = to;
                        back.to = from;
                        tunnels.add(back);
                    }
                })
                .connect(target)
                .addListener(done -> {
                    if (done.isSuccess()) {
                        tunnels.add(there);
                        there.pass();
                        there.to.pipeline().get(Tunnel.class).pass();
                    } else {
                        from.close();
                    }
                });
    }

    /** One direction of one connection. */
    private final class Tunnel extends ChannelInboundHandlerAdapter {
        private final Direction direction;
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

        Tunnel(Direction direction, SocketChannel from, InetAddress source) {
            this.direction = direction;
            this.from = from;
            this.source = source;
        }

        private Faults now() {
            return cut.test(source) ? Faults.BLOCKED : faults.get(direction);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = direction == tamperedDirection ? tampered.apply((ByteBuf) message) : (ByteBuf) message;
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
            from.config().setAutoRead(!now().blocked() && heldBytes < MAX_QUEUED_BYTES);
            long nowNanos = System.nanoTime();
            int budget = now().bytesPerSecond() == 0
                    ? Integer.MAX_VALUE
                    : (int) Math.max(1, now().bytesPerSecond() / PIECES_PER_S);
            while (!now().blocked() && !planned && budget > 0 && !held.isEmpty() && held.peek().dueNanos <= nowNanos) {
                budget -= passSome(budget);
            }
            if (!held.isEmpty() && !planned && !now().blocked()) {
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
                    tunnels.remove(this);
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
