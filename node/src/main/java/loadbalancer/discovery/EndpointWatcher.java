package loadbalancer.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.common.Log;
import loadbalancer.http.StrictClientCodec;
import loadbalancer.policy.ServerState;
import loadbalancer.transfer.TransferLimits;

/**
 * Watches the endpoint list of the discovery service. A failed watch is reported; it is opened again by the next {@link
 * #subscribe}, or on its own once {@link #keepSubscribed} has been called. Which watches are open and which lists count
 * is decided by {@link WatchStateMachine}.
 *
 * <p>All methods must be called on the event loop, on which the listener is called too.
 */
public final class EndpointWatcher {
    /** Is notified of what the watch brings. */
    public interface Listener {
        /** A list has come that is at least as new as all before. */
        void onEndpointList(EndpointList list);

        /** The watch has failed; the last list still counts. */
        void onWatchFailed(String reason);
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final EventLoop loop;
    private final WatchTimeouts timeouts;
    private final EndpointListDecoder decoder;
    private final ObjectMapper json = new ObjectMapper();
    private final Bootstrap bootstrap;
    private final WatchStateMachine state;

    /** Creates a watcher that has no watch open yet. */
    public EndpointWatcher(EventLoop loop, WatchConfig config, WatchTimeouts timeouts, Listener listener) {
        this.loop = loop;
        this.timeouts = timeouts;
        decoder = new EndpointListDecoder(config.zones());
        bootstrap = newBootstrap(loop);
        state = new WatchStateMachine(config, timeouts, new LoopActions(), listener);
    }

    private static Bootstrap newBootstrap(EventLoop loop) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, TransferLimits.ALLOCATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new StrictClientCodec());
                    }
                });
    }

    /** Opens a watch, and from now on opens another one whenever a watch fails. */
    public void keepSubscribed() {
        state.keepSubscribed();
    }

    /** Opens a watch for all that has changed since the last list, in place of the watch that is open. */
    public void subscribe() {
        state.subscribe();
    }

    /** The discovery service has moved: a watch that is open, or about to be opened again, is opened there at once. */
    public void moveTo(InetSocketAddress newAddress) {
        state.moveTo(newAddress);
    }

    /** Closes the watch and opens no other. */
    public void close() {
        state.close();
    }

    /** Carries out the actions of the state machine on the event loop. */
    private final class LoopActions implements WatchStateMachine.Actions {
        private Future<?> reconnect;

        @Override
        public WatchStateMachine.Connection newConnection(WatchStateMachine.ConnectionListener connectionListener) {
            return new WatchConnection(loop, bootstrap, json, decoder, timeouts, connectionListener);
        }

        @Override
        public void scheduleReconnect(long delayMillis) {
            reconnect = loop.schedule(state::subscribe, delayMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void cancelReconnect() {
            if (reconnect != null) {
                reconnect.cancel(false);
            }
        }

        /** Heartbeats come every 2 s and say nothing new, but for the first one. */
        @Override
        public void logList(EndpointList list, boolean firstOfWatch) {
            if (!firstOfWatch && list.endpoints().isEmpty()) {
                return;
            }
            int[] counts = new int[ServerState.values().length];
            for (Endpoint endpoint : list.endpoints()) {
                counts[endpoint.server().state().ordinal()]++;
            }
            Log.info(
                    "endpoint_list",
                    "version",
                    list.version(),
                    "kind",
                    list.full() ? "full" : "changes",
                    "first_of_watch",
                    firstOfWatch,
                    "ready",
                    counts[ServerState.READY.ordinal()],
                    "draining",
                    counts[ServerState.DRAINING.ordinal()],
                    "gone",
                    counts[ServerState.GONE.ordinal()]);
        }
    }
}
