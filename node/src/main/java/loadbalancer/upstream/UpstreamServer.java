package loadbalancer.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.discovery.Endpoint;
import loadbalancer.http.HttpBodies;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.ServerState;

/**
 * One server of the pool: its idle connections, the most recently used first, and the exchanges that wait for a
 * connection.
 *
 * <p>A waiting exchange starts on the next connection that becomes idle, unless it is ended here or removed by
 * {@link #removeWaiting}. All methods are called on the event loop.
 */
final class UpstreamServer implements ServerConnection.Owner {
    private final String id;
    /** The connections to all servers that carry an exchange, by exchange. */
    private final Map<UpstreamExchange, ServerConnection> active;

    private final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<UpstreamExchange> waiting = new ArrayDeque<>();

    private InetSocketAddress address;
    private long startedAtUs;
    private boolean listedReady;
    private boolean ready;
    private int pendingDials;

    UpstreamServer(String id, Map<UpstreamExchange, ServerConnection> active) {
        this.id = id;
        this.active = active;
    }

    // ---------------------------------------------------------------- state

    /** Applies the entry of the endpoint list. */
    void update(Endpoint listed, boolean cordoned) {
        // Connections to an earlier address or an earlier process of the server are closed: a request written to one
        // would end as a reset, after which a non-idempotent request must not be retried.
        boolean replaced = !listed.address().equals(address) || listed.server().startedAtUs() > startedAtUs;
        address = listed.address();
        startedAtUs = listed.server().startedAtUs();
        listedReady = listed.server().state() == ServerState.READY;
        ready = listedReady && !cordoned;
        if (replaced || !ready) {
            List.copyOf(idle).stream()
                    .filter(connection -> !connection.isUsable())
                    .forEach(ServerConnection::close);
        }
        if (!ready) {
            endWaiting();
        }
    }

    /**
     * Sets whether the server is cordoned. Closes idle connections and ends waiting exchanges unless it is ready then.
     */
    void setCordoned(boolean cordoned) {
        ready = listedReady && !cordoned;
        if (!ready) {
            closeIdle();
            endWaiting();
        }
    }

    /** Called when the server is no longer listed. Closes idle connections and ends waiting exchanges. */
    void remove() {
        ready = false;
        closeIdle();
        endWaiting();
    }

    /** Returns whether the server may get new exchanges: it is listed as ready and not cordoned. */
    boolean isReady() {
        return ready;
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Ends the exchanges that wait for a connection as {@link AttemptResult#MOOT}: their requests were never sent. */
    private void endWaiting() {
        UpstreamExchange exchange;
        while ((exchange = waiting.poll()) != null) {
            exchange.onEnded(AttemptResult.MOOT, HttpBodies.EMPTY);
        }
    }

    // ---------------------------------------------------------------- idle connections

    /** Returns the most recently used idle connection, or null. */
    ServerConnection newestIdle() {
        return idle.peek();
    }

    /** Returns the connection that has been idle for longest, or null. */
    ServerConnection oldestIdle() {
        return idle.peekLast();
    }

    void closeIdle() {
        new ArrayList<>(idle).forEach(ServerConnection::close);
    }

    /** Closes the connections that have been idle since before this time. */
    void evictIdle(long beforeUs) {
        while (!idle.isEmpty() && idle.peekLast().idleSinceUs() < beforeUs) {
            idle.peekLast().close();
        }
    }

    // ---------------------------------------------------------------- exchanges that wait for a connection

    /** Queues an exchange for a connection that is about to be dialed. */
    void enqueue(UpstreamExchange exchange) {
        waiting.add(exchange);
    }

    /** Removes an exchange from the queue. Returns whether it was queued. */
    boolean removeWaiting(UpstreamExchange exchange) {
        return waiting.remove(exchange);
    }

    void dialStarted() {
        pendingDials++;
    }

    void dialEnded() {
        pendingDials--;
    }

    /**
     * Ends the first queued exchange if more exchanges wait than dials are pending. One dial was started for each, but
     * an exchange may have started on a connection that became idle in the meantime.
     */
    void failExcessWaiting() {
        if (waiting.size() > pendingDials) {
            waiting.poll().onEnded(AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
        }
    }

    // ---------------------------------------------------------------- ServerConnection.Owner

    @Override
    public String serverId() {
        return id;
    }

    @Override
    public boolean accepts(InetSocketAddress openedTo, long openedAtUs) {
        return ready && openedTo.equals(address) && openedAtUs >= startedAtUs;
    }

    @Override
    public void onIdle(ServerConnection connection) {
        idle.push(connection);
        UpstreamExchange next = pollStartable();
        if (next != null) {
            connection.start(next);
        }
    }

    /** Removes the first queued exchange that may start now, and all before it; returns null if there is none. */
    private UpstreamExchange pollStartable() {
        UpstreamExchange next;
        while ((next = waiting.poll()) != null) {
            if (!next.mayStart()) {
                next.onEnded(AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
            } else if (!next.postponeStart()) {
                return next;
            }
        }
        return null;
    }

    @Override
    public void onUnusable() {
        // The connection may have been opened for a waiting exchange, to an address that has changed since.
        if (ready) {
            failExcessWaiting();
        }
    }

    @Override
    public void onExchangeStarted(ServerConnection connection, UpstreamExchange exchange) {
        idle.remove(connection);
        active.put(exchange, connection);
    }

    @Override
    public void onExchangeEnded(UpstreamExchange exchange) {
        active.remove(exchange);
    }

    @Override
    public void onClosed(ServerConnection connection) {
        idle.remove(connection);
    }
}
