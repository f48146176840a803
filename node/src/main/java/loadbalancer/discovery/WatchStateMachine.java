package loadbalancer.discovery;

import java.net.InetSocketAddress;

/**
 * Decides which watches on the endpoint list are open and which of their lists count. Free of I/O and clocks: events
 * come with their time, and what has to be done goes to {@link Actions}. Used on the event loop of the node only.
 *
 * <p>Versions only grow. When the discovery service moves, the watch at the old address goes on beside the new one
 * until the new one has caught up. A list that is older than what the node knows is ignored: otherwise a server that
 * the node was told to drain would be used again.
 */
final class WatchStateMachine {
    /** A connection of one watch. */
    interface Connection {
        /** Connects, and asks for what has changed since this version. Called once, before any event. */
        void connect(InetSocketAddress address, long afterVersion);

        /** Closes the connection, which then has no more events. */
        void close();
    }

    /** The events of a connection. */
    interface ConnectionListener {
        void onList(EndpointList list, long nowNanos);

        void onHeartbeat(long nowNanos);

        /** The connection has closed itself, and has no more events. */
        void onFailure(String reason);
    }

    /** What the state machine may do to the outside. */
    interface Actions {
        Connection newConnection(ConnectionListener listener);

        /** Calls {@link WatchStateMachine#subscribe} after this delay, unless that is cancelled. */
        void scheduleReconnect(long delayMillis);

        void cancelReconnect();

        void logList(EndpointList list, boolean firstOfWatch);
    }

    private final Actions actions;
    private final EndpointWatcher.Listener listener;
    private final ReconnectBackoff backoff;
    private final long maxLagNanos;
    private InetSocketAddress address;
    /** The newest version that the node knows. */
    private long version;

    private boolean keepsSubscribed;
    private Watch current;
    /** The watch at the address before the last move, until the current one has caught up; null if there is none. */
    private Watch previous;

    WatchStateMachine(WatchConfig config, WatchTimeouts timeouts, Actions actions, EndpointWatcher.Listener listener) {
        this.actions = actions;
        this.listener = listener;
        backoff = new ReconnectBackoff(config.nodes(), config.seed());
        maxLagNanos = timeouts.lagUs() * 1_000;
        address = config.address();
        version = config.initialVersion();
    }

    /** Opens a watch, and from now on opens another one whenever a watch fails. */
    void keepSubscribed() {
        keepsSubscribed = true;
        subscribe();
    }

    /** Opens a watch for all that has changed since the known version, in place of the current watch. */
    void subscribe() {
        closeCurrent();
        current = new Watch();
        current.connection.connect(address, version);
    }

    /** The discovery service has moved: a watch that is open, or about to be opened again, is opened there at once. */
    void moveTo(InetSocketAddress newAddress) {
        boolean moved = !newAddress.equals(address);
        address = newAddress;
        if (!moved || !(keepsSubscribed || current != null)) {
            return;
        }
        // After two moves in a row the previous watch stays the one that has been answered, if the one between has not.
        if (current != null && current.answered) {
            closePrevious();
            previous = current;
            current = null;
        }
        backoff.reset();
        subscribe();
    }

    /** Closes all watches and opens no other. */
    void close() {
        keepsSubscribed = false;
        closeCurrent();
        closePrevious();
    }

    private void closeCurrent() {
        actions.cancelReconnect();
        if (current != null) {
            current.connection.close();
            current = null;
        }
    }

    private void closePrevious() {
        if (previous != null) {
            previous.connection.close();
            previous = null;
        }
    }

    /** The state of one watch. */
    private final class Watch implements ConnectionListener {
        private final Connection connection = actions.newConnection(this);
        private boolean answered;
        /** Whether the last list was older than the known version. */
        private boolean behind;

        private long behindSinceNanos;

        @Override
        public void onHeartbeat(long nowNanos) {
            if (answered) {
                failIfBehindTooLong(nowNanos);
            } else {
                // As an answer to the request a heartbeat says that nothing has changed since the version asked for.
                onList(EndpointList.unchangedSince(version), nowNanos);
            }
        }

        @Override
        public void onList(EndpointList list, long nowNanos) {
            actions.logList(list, !answered);
            answered = true;
            if (list.version() < version) {
                if (!behind) {
                    behind = true;
                    behindSinceNanos = nowNanos;
                }
                failIfBehindTooLong(nowNanos);
                return;
            }
            behind = false;
            backoff.reset();
            version = list.version();
            if (this == current) {
                closePrevious();
            }
            listener.onEndpointList(list);
        }

        /** What is behind for so long has lost its newest lists for good: the node asks for all and takes it. */
        private void failIfBehindTooLong(long nowNanos) {
            if (behind && nowNanos - behindSinceNanos > maxLagNanos) {
                version = 0;
                connection.close();
                onFailure("behind for too long, asking for all");
            }
        }

        @Override
        public void onFailure(String reason) {
            if (this == previous) {
                // The service leaves its old address once it has moved.
                previous = null;
                return;
            }
            current = null;
            listener.onWatchFailed(reason);
            if (keepsSubscribed) {
                actions.scheduleReconnect(backoff.nextDelayMillis());
            }
        }
    }
}
