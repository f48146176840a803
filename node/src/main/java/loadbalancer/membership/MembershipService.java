package loadbalancer.membership;

import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.membership.codec.BadFrameException;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.codec.MembershipView;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;
import loadbalancer.membership.core.MembershipActions;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipMessage;
import loadbalancer.membership.core.MembershipProtocol;
import loadbalancer.net.SocketAddresses;

/**
 * Runs the membership protocol of this process over sockets and with the system clock. Public methods are thread-safe.
 * Everything else runs on a dedicated event loop, so that a node under load is not considered dead, and the node's
 * requests do not wait for membership.
 */
public final class MembershipService {
    /** Limit of the wait for a leave; also of the shutdown of the event loop. */
    private static final long LEAVE_TIMEOUT_MILLIS = 1_000;

    private final MembershipConfig config;
    private final MeasuredEventLoop loop = new MeasuredEventLoop("members", true);
    private final MembershipMetrics metrics = new MembershipMetrics();
    private final DatagramEndpoint datagrams;
    private final StateSync stateSync;
    /** Null until both sockets are open. */
    private MembershipProtocol protocol;

    private Future<?> wakeTimer;
    private boolean unavailableLogged;
    /** Written by the event loop, read by any thread. */
    private volatile String metricsReport = "";

    private MembershipService(MembershipConfig config) {
        this.config = config;
        MembershipCodec codec = new MembershipCodec(config.fleet());
        datagrams = new DatagramEndpoint(loop, codec, metrics, new DatagramListener());
        stateSync = new StateSync(loop, codec, config.bind(), new StateSyncListener());
    }

    /**
     * Joins the fleet. If the address is in use, such as by the process that this one replaces, retries once per probe
     * period.
     */
    public static MembershipService join(MembershipConfig config) {
        MembershipService service = new MembershipService(config);
        service.loop.execute(service::open);
        return service;
    }

    /**
     * Joins the fleet for a process that has its own metrics. Apart from the configuration, the signature has only JDK
     * types, so that a process without a fleet loads no class of membership.
     *
     * @param registerMetrics receives the supplier of the membership metrics
     * @return action that leaves the fleet
     */
    public static Runnable join(MembershipConfig config, Consumer<Supplier<String>> registerMetrics) {
        MembershipService service = join(config);
        registerMetrics.accept(service::metricsReport);
        return service::leave;
    }

    /** Metrics, one per line, as of the last wake of the protocol; empty before the first. */
    public String metricsReport() {
        return metricsReport;
    }

    /** Announces the leave and ends participation. Waits for at most one second. */
    public void leave() {
        try {
            loop.submit(() -> {
                        if (protocol != null) {
                            protocol.leave();
                        }
                        close();
                    })
                    .awaitUninterruptibly(LEAVE_TIMEOUT_MILLIS);
        } catch (RejectedExecutionException e) {
            // The event loop has ended: this process has yielded its name and is no longer a member.
        }
    }

    // ---------------------------------------------------------------- on the event loop

    private static long nowUs() {
        return System.nanoTime() / 1_000;
    }

    private void open() {
        datagrams.open(config.bind()).addListener(bound -> {
            if (!bound.isSuccess()) {
                retryOpen(bound.cause());
                return;
            }
            stateSync.listen().addListener(listening -> {
                if (listening.isSuccess()) {
                    start();
                } else {
                    retryOpen(listening.cause());
                }
            });
        });
    }

    private void retryOpen(Throwable cause) {
        datagrams.close();
        stateSync.close();
        if (!unavailableLogged) {
            unavailableLogged = true;
            MembershipEventLog.onAddressUnavailable(SocketAddresses.format(config.bind()), cause);
        }
        loop.schedule(this::open, config.settings().probePeriodUs(), TimeUnit.MICROSECONDS);
    }

    private void start() {
        long seed = new SplittableRandom().nextLong();
        long startedAtUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
        protocol = new MembershipProtocol(config.settings(), seed, startedAtUs, new Actions());
        protocol.start(nowUs());
        MembershipEventLog.onStarted(config.fleet(), protocol.self());
    }

    private void close() {
        if (wakeTimer != null) {
            wakeTimer.cancel(false);
        }
        datagrams.close();
        stateSync.close();
        loop.shutdownGracefully(0, LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Passes an event to the protocol, and closes the service if the event ended the protocol. */
    private void handle(Consumer<MembershipProtocol> event) {
        if (protocol == null || protocol.isEnded()) {
            return;
        }
        event.accept(protocol);
        if (protocol.isEnded()) {
            close();
        }
    }

    private void onWake() {
        handle(running -> running.onWake(nowUs()));
        metricsReport = metrics.report(protocol);
    }

    private void countBadFrame(BadFrameException e) {
        if (metrics.onBadFrame(e.reason()) == 1) {
            MembershipEventLog.onFirstBadFrame(e);
        }
    }

    private MembershipView currentView() {
        Member self = protocol.isEnded() ? protocol.self().withState(MemberState.LEFT) : protocol.self();
        // The first element of the snapshot is this process.
        List<Member> others = protocol.stateSnapshot().stream()
                .skip(1)
                .map(GossipUpdate::member)
                .toList();
        return new MembershipView(
                protocol.version(), protocol.digest(), protocol.localHealth(), self, others, metrics.counters());
    }

    private final class Actions implements MembershipActions {
        /** Parses an address, or returns null if no process can listen at it, which is an error of another process. */
        private InetSocketAddress parseReachable(String address) {
            InetSocketAddress parsed = SocketAddresses.parseOrNull(address);
            return parsed == null || parsed.getPort() == 0 ? null : parsed;
        }

        @Override
        public void send(String address, MembershipMessage message) {
            InetSocketAddress target = parseReachable(address);
            if (target != null) {
                datagrams.send(target, message);
            }
        }

        @Override
        public void startStateSync(String address) {
            InetSocketAddress peer = parseReachable(address);
            if (peer != null) {
                stateSync.start(peer);
            }
        }

        @Override
        public void onChange(MembershipChange change) {
            metrics.onChange(change.type());
            MembershipEventLog.onChange(change);
        }

        @Override
        public void onRoundTrip(long roundTripUs) {
            metrics.onRoundTrip(roundTripUs);
        }

        @Override
        public void scheduleWake(long atUs) {
            if (wakeTimer != null) {
                wakeTimer.cancel(false);
            }
            long delayUs = Math.max(0, atUs - nowUs());
            wakeTimer = loop.schedule(MembershipService.this::onWake, delayUs, TimeUnit.MICROSECONDS);
        }
    }

    private final class DatagramListener implements DatagramEndpoint.Listener {
        @Override
        public void onMessage(MembershipMessage message) {
            handle(running -> running.onMessage(nowUs(), message));
        }

        @Override
        public void onBadFrame(BadFrameException e) {
            countBadFrame(e);
        }
    }

    private final class StateSyncListener implements StateSync.Listener {
        @Override
        public List<GossipUpdate> stateSnapshot() {
            return protocol == null ? List.of() : protocol.stateSnapshot();
        }

        @Override
        public MembershipView view() {
            return currentView();
        }

        @Override
        public void onState(List<GossipUpdate> state) {
            handle(running -> running.onStateSync(nowUs(), state));
        }

        @Override
        public void onBadFrame(BadFrameException e) {
            countBadFrame(e);
        }

        @Override
        public void onError(Throwable cause) {
            MembershipEventLog.onStateSyncError(cause);
        }

        @Override
        public void onEnd(boolean complete) {
            metrics.onStateSyncEnd(complete);
        }
    }
}
