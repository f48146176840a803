package loadbalancer.client;

import java.util.EnumMap;
import java.util.Map;
import loadbalancer.common.ConnectionEvent;
import loadbalancer.common.EventCounters;
import loadbalancer.common.Log;
import loadbalancer.common.LogThrottle;

/**
 * Counts and logs why the node ends connections of clients by itself, or does not accept them: of each event at most
 * one line a second, which describes the last connection. Not thread-safe.
 */
final class ConnectionLog {
    private final EventCounters<ConnectionEvent> counters;
    private final Map<ConnectionEvent, LogThrottle> throttles = new EnumMap<>(ConnectionEvent.class);

    ConnectionLog(EventCounters<ConnectionEvent> counters) {
        this.counters = counters;
        for (ConnectionEvent event : ConnectionEvent.values()) {
            throttles.put(event, new LogThrottle(System::nanoTime));
        }
    }

    /**
     * Records the end of a connection.
     *
     * @param client the connection, before it is closed
     * @param open the number of connections
     */
    void onEnd(ConnectionEvent event, ConnectionCloser client, int open) {
        counters.increment(event);
        long connections = throttles.get(event).record();
        if (connections > 0) {
            Log.info(
                    "connection_" + event.label(),
                    "connections",
                    connections,
                    "open",
                    open,
                    "last_peer",
                    client.peer(),
                    "idle_ms",
                    client.inactiveMillis(),
                    "validated",
                    client.isValidated());
        }
    }

    /**
     * Records that connections are not accepted.
     *
     * @param open the number of connections
     * @param cause what the system answered; null if there is no room
     */
    void onNotAccepted(ConnectionEvent event, int open, Throwable cause) {
        counters.increment(event);
        long occurrences = throttles.get(event).record();
        if (occurrences > 0) {
            Log.warn(event.label(), "occurrences", occurrences, "open", open, "cause", cause);
        }
    }
}
