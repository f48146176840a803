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
 * connection to be opened.
 *
 * <p>A waiting exchange belongs to this class: it starts on the first connection that becomes idle, or ends here, or is
 * taken back. Runs on the event loop.
 */
final class UpstreamServer implements ServerConnection.Owner {
    private final String id;
    /** The connections that carry an exchange, of all servers. */
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

    // ---------------------------------------------------------------- what is known of it

    /** Takes over what the endpoint list says. */
    void update(Endpoint listed, boolean cordoned) {
        // A connection to another address, or to a process that has ended, is of no more use: a request that is
        // written to it would end as a reset, after which a non-idempotent request may not be retried.
        boolean moved = !listed.address().equals(address) || listed.server().startedAtUs() > startedAtUs;
        address = listed.address();
        startedAtUs = listed.server().startedAtUs();
        listedReady = listed.server().state() == ServerState.READY;
        ready = listedReady && !cordoned;
        if (moved || !ready) {
            List.copyOf(idle).stream()
                    .filter(connection -> !connection.isUsable())
                    .forEach(ServerConnection::close);
        }
        if (!ready) {
            endWaiting();
        }
    }

    /** Whether an operator keeps it out; if so, its idle connections close and what waits for one ends. */
    void setCordoned(boolean cordoned) {
        ready = listedReady && !cordoned;
        if (!ready) {
            closeIdle();
            endWaiting();
        }
    }

    /** It is no longer listed. */
    void remove() {
        ready = false;
        closeIdle();
        endWaiting();
    }

    /** Whether it may get anything new. */
    boolean isReady() {
        return ready;
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Ends what waits for a connection to a server that takes nothing new: it has never run. */
    private void endWaiting() {
        UpstreamExchange exchange;
        while ((exchange = waiting.poll()) != null) {
            exchange.onEnded(AttemptResult.MOOT, HttpBodies.EMPTY);
        }
    }

    // ---------------------------------------------------------------- idle connections

    /** The most recently used idle connection, or null. */
    ServerConnection newestIdle() {
        return idle.peek();
    }

    /** The idle connection that has been idle for longest, or null. */
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

    /** Takes an exchange out of the queue; returns whether it was there. */
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
     * Ends the first exchange in the queue if no dial is left for it. One dial was made for each, but an exchange may
     * have started on a connection that became idle meanwhile.
     */
    void failIfNoDialPending() {
        if (waiting.size() > pendingDials) {
            waiting.poll().onEnded(AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
        }
    }

    // ---------------------------------------------------------------- what its connections report

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
        UpstreamExchange next;
        while ((next = waiting.poll()) != null && !next.mayStart()) {
            next.onEnded(AttemptResult.CONNECT_FAILED, HttpBodies.EMPTY);
        }
        if (next != null) {
            connection.start(next);
        }
    }

    @Override
    public void onUnusable() {
        // The dial was for an exchange that still waits, perhaps at an address that has changed since.
        if (ready) {
            failIfNoDialPending();
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
