package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.net.SocketAddresses;
import org.junit.jupiter.api.Test;

/** Which watches are open and which lists are accepted. Uses no sockets; each test supplies the time of its events. */
class WatchStateMachineTest {
    private static final InetSocketAddress OLD = SocketAddresses.parseOrNull("127.0.0.1:1");
    private static final InetSocketAddress NEW = SocketAddresses.parseOrNull("127.0.0.1:2");
    private static final InetSocketAddress THIRD = SocketAddresses.parseOrNull("127.0.0.1:3");
    private static final long LAG_NANOS = 6_000_000_000L;

    /** A connection whose events are triggered by the test. */
    private final class FakeConnection implements WatchStateMachine.Connection {
        private final WatchStateMachine.ConnectionListener listener;
        private final int number;

        FakeConnection(WatchStateMachine.ConnectionListener listener, int number) {
            this.listener = listener;
            this.number = number;
        }

        @Override
        public void connect(InetSocketAddress address, long afterVersion) {
            events.add("connect " + number + " to " + address.getPort() + " after " + afterVersion);
        }

        @Override
        public void close() {
            events.add("close " + number);
        }

        void list(long version, long nowNanos) {
            listener.onList(new EndpointList(version, false, List.of()), nowNanos);
        }
    }

    /** Records the actions of the state machine. */
    private final class FakeActions implements WatchStateMachine.Actions {
        @Override
        public WatchStateMachine.Connection newConnection(WatchStateMachine.ConnectionListener listener) {
            FakeConnection connection = new FakeConnection(listener, connections.size());
            connections.add(connection);
            return connection;
        }

        @Override
        public void scheduleReconnect(long delayMillis) {
            events.add("reconnect");
            lastDelayMillis = delayMillis;
        }

        @Override
        public void cancelReconnect() {
            // Not recorded: the state machine may cancel at any time.
        }

        @Override
        public void logList(EndpointList list, boolean firstOfWatch) {
            logged.add(list.version() + (firstOfWatch ? " first" : ""));
        }
    }

    private final class RecordingListener implements EndpointWatcher.Listener {
        @Override
        public void onEndpointList(EndpointList list) {
            events.add("list " + list.version());
        }

        @Override
        public void onWatchFailed(String reason) {
            events.add("failed: " + reason);
        }
    }

    private final List<String> events = new ArrayList<>();
    private final List<String> logged = new ArrayList<>();
    private final List<FakeConnection> connections = new ArrayList<>();
    private long lastDelayMillis;
    private final WatchStateMachine state = new WatchStateMachine(
            new WatchConfig(OLD, List.of(), 41, 3, 7),
            WatchTimeouts.DEFAULT,
            new FakeActions(),
            new RecordingListener());

    private void assertEvents(String... expected) {
        assertEquals(List.of(expected), events);
        events.clear();
    }

    @Test
    void watchRequestsChangesAfterTheKnownVersion() {
        state.subscribe();
        connections.get(0).list(43, 0);
        state.subscribe();
        assertEvents("connect 0 to 1 after 41", "list 43", "close 0", "connect 1 to 1 after 43");
    }

    @Test
    void heartbeatAsFirstMessageMeansNoChanges() {
        state.subscribe();
        connections.get(0).listener.onHeartbeat(0);
        connections.get(0).listener.onHeartbeat(1);
        assertEvents("connect 0 to 1 after 41", "list 41");
        assertEquals(List.of("41 first"), logged);
    }

    @Test
    void failedWatchIsReportedAndReopenedOnlyAfterKeepSubscribed() {
        state.subscribe();
        connections.get(0).listener.onFailure("silent");
        assertEvents("connect 0 to 1 after 41", "failed: silent");
        state.keepSubscribed();
        connections.get(1).listener.onFailure("silent");
        assertEvents("connect 1 to 1 after 41", "failed: silent", "reconnect");
        state.close();
        assertEvents();
    }

    @Test
    void reconnectDelayGrowsWithEachFailureUntilAListIsReceived() {
        state.keepSubscribed();
        for (int i = 0; i < 4; i++) {
            connections.get(i).listener.onFailure("silent");
            state.subscribe();
        }
        assertTrue(lastDelayMillis >= 200, "fourth failure: " + lastDelayMillis);
        connections.get(4).list(42, 0);
        connections.get(4).listener.onFailure("silent");
        assertTrue(lastDelayMillis <= 50, "first failure after a list: " + lastDelayMillis);
    }

    /**
     * The discovery service moves and the new address lags behind. Without the old watch, the node would miss changes
     * that only the old address has.
     */
    @Test
    void oldWatchIsUsedAfterAMoveUntilTheNewOneHasCaughtUp() {
        state.keepSubscribed();
        connections.get(0).list(42, 0);
        state.moveTo(NEW);
        connections.get(1).list(40, 1);
        connections.get(0).list(43, 2);
        connections.get(1).list(43, 3);
        assertEvents("connect 0 to 1 after 41", "list 42", "connect 1 to 2 after 42", "list 43", "close 0", "list 43");
    }

    @Test
    void failureOfTheOldWatchAfterAMoveIsNotReported() {
        state.keepSubscribed();
        connections.get(0).list(42, 0);
        state.moveTo(NEW);
        events.clear();
        connections.get(0).listener.onFailure("connection ended");
        assertEvents();
    }

    @Test
    void secondMoveKeepsTheWatchThatHasReceivedAMessage() {
        state.keepSubscribed();
        connections.get(0).list(42, 0);
        state.moveTo(NEW);
        state.moveTo(THIRD);
        connections.get(0).list(43, 1);
        connections.get(2).list(44, 2);
        assertEvents(
                "connect 0 to 1 after 41",
                "list 42",
                "connect 1 to 2 after 42",
                "close 1",
                "connect 2 to 3 after 42",
                "list 43",
                "close 0",
                "list 44");
    }

    @Test
    void moveOpensNoWatchIfNoneIsOpenOrToTheSameAddress() {
        state.moveTo(NEW);
        assertEvents();
        state.subscribe();
        assertEvents("connect 0 to 2 after 41");
        state.moveTo(NEW);
        assertEvents();
    }

    /**
     * The service has lost its newest lists for good. If the node ignored its older lists forever, it would never
     * follow a change again.
     */
    @Test
    void watchThatLagsTooLongIsClosedAndTheNextOneRequestsAllServers() {
        state.keepSubscribed();
        connections.get(0).list(3, 1_000);
        connections.get(0).list(4, 2_000);
        connections.get(0).listener.onHeartbeat(1_000 + LAG_NANOS);
        assertEvents("connect 0 to 1 after 41");
        connections.get(0).listener.onHeartbeat(1_001 + LAG_NANOS);
        state.subscribe();
        connections.get(1).list(4, 0);
        assertEvents(
                "close 0",
                "failed: behind for too long, asking for all",
                "reconnect",
                "connect 1 to 1 after 0",
                "list 4");
    }

    @Test
    void closeEndsBothWatches() {
        state.keepSubscribed();
        connections.get(0).list(42, 0);
        state.moveTo(NEW);
        events.clear();
        state.close();
        assertEvents("close 1", "close 0");
    }
}
