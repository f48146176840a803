package loadbalancer.discovery;

import java.net.InetSocketAddress;

/**
 * Decides which watches on the endpoint list are open and which of their lists are accepted. Uses no I/O and no clock:
 * each event carries its time, and side effects go through {@link Actions}. Used on the event loop of the node only.
 *
 * <p>A list that is older than the known version is ignored. Otherwise a server that is already draining would be used
 * again. When the discovery service moves, the watch at the old address stays open beside the new one until the new
 * one has delivered a list that is not older than the known version.
 */
final class WatchStateMachine {
    /** The connection of one watch. */
    interface Connection {
        /** Connects and requests the changes since the given version. Called once, before any event. */
        void connect(InetSocketAddress address, long afterVersion);

        /** Closes the connection; it reports no more events. */
        void close();
    }

    /** Receives the events of a connection. */
    interface ConnectionListener {
        void onList(EndpointList list, long nowNanos);

        void onHeartbeat(long nowNanos);

        /** Called when the connection has failed. It has closed itself and reports no more events. */
        void onFailure(String reason);
    }

    /** The side effects of the state machine. */
    interface Actions {
        Connection newConnection(ConnectionListener listener);

        /** Calls {@link WatchStateMachine#subscribe} after the delay, unless {@link #cancelReconnect} is called. */
        void scheduleReconnect(long delayMillis);

        void cancelReconnect();

        void logList(EndpointList list, boolean firstOfWatch);
    }

    private final Actions actions;
    private final EndpointWatcher.Listener listener;
    private final ReconnectBackoff backoff;
    private final long maxLagNanos;
    private InetSocketAddress address;
    /**
     * The known version: that of the last accepted list, or of the list at startup if none has been accepted. Set to 0
     * if a watch fails because it lagged.
     */
    private long version;

    private boolean keepsSubscribed;
    private Watch current;
    /** The watch at an earlier address, until the current watch has caught up; null if there is none. */
    private Watch previous;

    WatchStateMachine(WatchConfig config, WatchTimeouts timeouts, Actions actions, EndpointWatcher.Listener listener) {
        this.actions = actions;
        this.listener = listener;
        backoff = new ReconnectBackoff(config.nodes(), config.seed());
        maxLagNanos = timeouts.maxLagUs() * 1_000;
        address = config.address();
        version = config.initialVersion();
    }

    /** Opens a watch, and from now on reopens it after each failure, with a backoff delay. */
    void keepSubscribed() {
        keepsSubscribed = true;
        subscribe();
    }

    /** Opens a watch for the changes since the known version. Replaces the current watch, if there is one. */
    void subscribe() {
        closeCurrent();
        current = new Watch();
        current.connection.connect(address, version);
    }

    /**
     * Sets the address of the discovery service. If it differs from the current address, a watch that is open or is to
     * be reopened is opened at the new address immediately.
     */
    void moveTo(InetSocketAddress newAddress) {
        boolean moved = !newAddress.equals(address);
        address = newAddress;
        if (!moved || !(keepsSubscribed || current != null)) {
            return;
        }
        // The current watch becomes the previous one only if it has received a message. Otherwise, as after two moves
        // in quick succession, the previous watch stays open and subscribe() closes the current one.
        if (current != null && current.messageReceived) {
            closePrevious();
            previous = current;
            current = null;
        }
        backoff.reset();
        subscribe();
    }

    /** Closes all watches and stops reopening them. */
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

    /** A watch and its state. */
    private final class Watch implements ConnectionListener {
        private final Connection connection = actions.newConnection(this);
        private boolean messageReceived;
        /** Whether the last received list was older than the known version. */
        private boolean behind;

        private long behindSinceNanos;

        @Override
        public void onHeartbeat(long nowNanos) {
            if (messageReceived) {
                failIfBehindTooLong(nowNanos);
            } else {
                // A heartbeat as the first message means that nothing has changed since the requested version. It is
                // treated as an empty list with the known version.
                onList(EndpointList.unchangedSince(version), nowNanos);
            }
        }

        @Override
        public void onList(EndpointList list, long nowNanos) {
            actions.logList(list, !messageReceived);
            messageReceived = true;
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

        /**
         * Fails the watch if its lists have been older than the known version for longer than {@link
         * WatchTimeouts#maxLagUs}: the service has then lost its newest lists for good. The known version is set to 0,
         * so that the next watch requests all servers and any list is accepted.
         */
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
                // Not reported: the service closes its old address once it has moved.
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
