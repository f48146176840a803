package loadbalancer.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.Future;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.membership.BadFrameException.Reason;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;
import loadbalancer.membership.core.MembershipActions;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipMessage;
import loadbalancer.membership.core.MembershipProtocol;
import loadbalancer.net.SocketAddresses;

/**
 * This process's part in its fleet: the membership core on sockets, on a loop of its own, so that a node that
 * works hard is not held for dead, nor this for its work.
 */
public final class MembershipService {
    private static final long LEAVING_MS = 1_000;

    private final MembershipConfig config;
    private final Consumer<String> log;
    private final MeasuredEventLoop loop = new MeasuredEventLoop("members", true);
    private final Codec codec;
    private final MembershipMetrics figures = new MembershipMetrics();
    private StateSync exchanges;
    private Channel datagrams;
    private MembershipProtocol core;
    private Future<?> wake;
    private boolean toldBusy;
    /** What {@link #figures} says; written by the loop. */
    private volatile String text = "";

    private MembershipService(MembershipConfig config, Consumer<String> log) {
        this.config = config;
        this.log = log;
        codec = new Codec(config.fleet());
    }

    /**
     * Takes part from now on. Where the address is taken, as by the process that this one follows, it waits
     * until that gives it up.
     *
     * @param log told of what changes, a line each
     */
    public static MembershipService join(MembershipConfig config, Consumer<String> log) {
        MembershipService members = new MembershipService(config, log);
        members.loop.execute(members::open);
        return members;
    }

    /**
     * The same for a process that has figures of its own.
     *
     * @param figures given what tells this part's
     * @return what leaves
     */
    public static Runnable join(MembershipConfig config, Consumer<String> log, Consumer<Supplier<String>> figures) {
        MembershipService members = join(config, log);
        figures.accept(members::figures);
        return members::leave;
    }

    private static long nowUs() {
        return System.nanoTime() / 1_000;
    }

    private void say(String line) {
        log.accept("members: " + line);
    }

    // ---------------------------------------------------------------- its life

    private void open() {
        // One byte more than any message has, so that what is too long is damaged.
        ChannelFuture binding = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Codec.MOST_DATAGRAM + 1))
                .handler(new Datagrams())
                .bind(config.bind());
        datagrams = binding.channel();
        exchanges = new StateSync(loop, codec, config.bind(), new Peers());
        binding.addListener(bound -> {
            if (!bound.isSuccess()) {
                openLater(bound.cause());
                return;
            }
            exchanges.listen().addListener(listening -> {
                if (listening.isSuccess()) {
                    begin();
                } else {
                    openLater(listening.cause());
                }
            });
        });
    }

    private void openLater(Throwable cause) {
        datagrams.close();
        exchanges.close();
        if (!toldBusy) {
            toldBusy = true;
            say(SocketAddresses.format(config.bind()) + " cannot be had yet: " + cause.getMessage()
                    + (cause instanceof BindException
                            ? ""
                            : " (" + cause.getClass().getName() + ")"));
        }
        loop.schedule(this::open, config.settings().probePeriodUs(), TimeUnit.MICROSECONDS);
    }

    private void begin() {
        core = new MembershipProtocol(
                config.settings(),
                new SplittableRandom().nextLong(),
                ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()),
                new Actions());
        core.start(nowUs());
        say("taking part in " + config.fleet() + " as " + core.self().name() + " at "
                + core.self().address());
    }

    /** Says that this process goes, and takes part no more; waits for a second at most. */
    public void leave() {
        try {
            loop.submit(() -> {
                        if (core != null) {
                            core.leave();
                        }
                        close();
                    })
                    .awaitUninterruptibly(LEAVING_MS);
        } catch (RejectedExecutionException e) {
            // It has given way to another of its name, and has nothing left to say.
        }
    }

    private void close() {
        if (wake != null) {
            wake.cancel(false);
        }
        datagrams.close();
        exchanges.close();
        loop.shutdownGracefully(0, LEAVING_MS, TimeUnit.MILLISECONDS);
    }

    /** What it counts, a line each, as of some time within the last period; may be called from any thread. */
    public String figures() {
        return text;
    }

    /** Gives the core an event, and looks whether that was its last. */
    private void tell(Consumer<MembershipProtocol> event) {
        if (core == null || core.isEnded()) {
            return;
        }
        event.accept(core);
        if (core.isEnded()) {
            close();
        }
    }

    private void onWake() {
        tell(told -> told.onWake(nowUs()));
        StringBuilder lines = new StringBuilder();
        lines.append("members_live ").append(core.liveCount()).append('\n');
        lines.append("members_view_version ").append(core.version()).append('\n');
        lines.append("members_health ").append(core.localHealth()).append('\n');
        figures.all()
                .forEach((name, value) -> lines.append("members_")
                        .append(name)
                        .append(' ')
                        .append(value)
                        .append('\n'));
        text = lines.toString();
    }

    // ---------------------------------------------------------------- what the core wants done

    private final class Actions implements MembershipActions {
        @Override
        public void send(String address, MembershipMessage message) {
            InetSocketAddress to = SocketAddresses.parseOrNull(address);
            if (to == null || to.getPort() == 0) {
                // Another's word, for which nobody listens.
                return;
            }
            byte[] bytes = codec.encode(message);
            figures.sent(bytes.length);
            // A datagram that cannot be sent is one that got lost: the protocol bears it.
            datagrams.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
        }

        @Override
        public void startStateSync(String address) {
            InetSocketAddress to = SocketAddresses.parseOrNull(address);
            if (to != null && to.getPort() != 0) {
                exchanges.begin(to);
            }
        }

        @Override
        public void onChange(MembershipChange change) {
            figures.changed(change.type());
            Member member = change.member();
            say(change.type().name().toLowerCase(Locale.ROOT) + " " + member.name() + " at "
                    + member.address() + ", zone " + member.zone() + ", role " + member.role()
                    + ", incarnation " + member.incarnation().generation() + "."
                    + member.incarnation().refutations());
        }

        @Override
        public void onRoundTrip(long us) {
            figures.roundTrip(us);
        }

        @Override
        public void scheduleWake(long atUs) {
            if (wake != null) {
                wake.cancel(false);
            }
            wake = loop.schedule(MembershipService.this::onWake, Math.max(0, atUs - nowUs()), TimeUnit.MICROSECONDS);
        }
    }

    // ---------------------------------------------------------------- what others say

    private void bad(Reason reason) {
        if (figures.bad(reason) == 1) {
            say("dropped something that is " + reason.name().toLowerCase(Locale.ROOT)
                    + "; what follows of that is only counted");
        }
    }

    private final class Datagrams extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = ByteBufUtil.getBytes(packet.content());
            figures.received(bytes.length);
            try {
                MembershipMessage message = codec.decode(bytes);
                tell(told -> told.onMessage(nowUs(), message));
            } catch (BadFrameException e) {
                bad(e.reason());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            say("datagrams: " + cause);
        }
    }

    private final class Peers implements StateSync.Owner {
        @Override
        public byte[] state() {
            return codec.encodeState(core == null ? List.of() : core.stateSnapshot());
        }

        @Override
        public byte[] view() {
            List<GossipUpdate> all = core.stateSnapshot();
            return codec.encodeView(new MembershipClient.View(
                    core.version(),
                    core.digest(),
                    core.localHealth(),
                    core.isEnded() ? core.self().withState(MemberState.LEFT) : core.self(),
                    all.stream().skip(1).map(GossipUpdate::member).toList(),
                    figures.all()));
        }

        @Override
        public void heard(List<GossipUpdate> all) {
            tell(told -> told.onStateSync(nowUs(), all));
        }

        @Override
        public void bad(Reason reason) {
            MembershipService.this.bad(reason);
        }

        @Override
        public void failed(Throwable cause) {
            say("exchange: " + cause);
        }

        @Override
        public void ended(boolean whole) {
            figures.exchanged(whole);
        }
    }
}
