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
 * Watches the endpoint list of the discovery service. {@link WatchStateMachine} decides which watches are open and
 * which lists are accepted.
 *
 * <p>A watch fails if any of these happens:
 *
 * <ul>
 *   <li>The connection cannot be opened, or the first message has not arrived within {@link
 *       WatchTimeouts#firstMessageUs}. A message is a list or a heartbeat.
 *   <li>Nothing is received for {@link WatchTimeouts#silenceUs} after the first message.
 *   <li>The connection closes, or the response ends, is malformed or has a status other than 200.
 *   <li>A list is malformed or longer than {@link JsonDocumentFramer} accepts.
 *   <li>The lists have been older than the known version for longer than {@link WatchTimeouts#maxLagUs}. This is
 *       checked when a list or a heartbeat arrives.
 * </ul>
 *
 * <p>The connection of a failed watch is closed and the failure is reported to the listener; the last accepted list
 * stays in force. The next {@link #subscribe} opens a new watch. Once {@link #keepSubscribed} has been called, this
 * also happens automatically after the delay of {@link ReconnectBackoff}. The failure of a watch that has been replaced
 * after a move is not reported.
 *
 * <p>All methods must be called on the event loop, and the listener is called on it.
 */
public final class EndpointWatcher {
    /** Receives the lists and failures of the watch. */
    public interface Listener {
        /**
         * Called for each accepted list. Its version is at least that of the list before, except for the first list
         * after a watch has failed because it lagged.
         */
        void onEndpointList(EndpointList list);

        /** Called when the watch has failed; the last accepted list stays in force. */
        void onWatchFailed(String reason);
    }

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final EventLoop loop;
    private final WatchTimeouts timeouts;
    private final EndpointListDecoder decoder;
    private final ObjectMapper json = new ObjectMapper();
    private final Bootstrap bootstrap;
    private final WatchStateMachine state;

    /** Creates a watcher; no watch is open until {@link #subscribe} or {@link #keepSubscribed} is called. */
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

    /** Opens a watch, and from now on reopens it after each failure, with a backoff delay. */
    public void keepSubscribed() {
        state.keepSubscribed();
    }

    /** Opens a watch for the changes since the last accepted list. Replaces the current watch, if there is one. */
    public void subscribe() {
        state.subscribe();
    }

    /**
     * Sets the address of the discovery service. If it differs from the current address, a watch that is open or is to
     * be reopened is opened at the new address immediately.
     */
    public void moveTo(InetSocketAddress newAddress) {
        state.moveTo(newAddress);
    }

    /** Closes all watches and stops reopening them. */
    public void close() {
        state.close();
    }

    /** Performs the actions of the state machine with sockets and timers of the event loop. */
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

        /**
         * Logs a list. An empty list is logged only if it is the first one of its watch: a service that sends an empty
         * list as its heartbeat, every 2 s, would fill the log.
         */
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
