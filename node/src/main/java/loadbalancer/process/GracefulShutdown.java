package loadbalancer.process;

import java.util.concurrent.TimeUnit;
import loadbalancer.client.ClientServer;
import loadbalancer.common.Log;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;

/**
 * Drains a node after SIGTERM. All times count from the signal, as the platform's do, although the drain begins only
 * once the process has left the membership, if there is one. That may take up to a second, in which the node serves as
 * usual.
 *
 * <p>A request that waits for a server, or for a server's response, is still sent, retried and hedged as usual. Only
 * the following changes:
 *
 * <ul>
 *   <li>A response that starts during the drain has {@code Connection: close}, and the node closes the connection after
 *       it. If requests are pipelined behind it, this applies to the last of their responses instead.
 *   <li>A request that arrives during the drain gets the shutdown deadline if its own deadline is later.
 *   <li>{@link #GRACE_PERIOD_US} after the signal, connections without a request are closed, and so is each later one
 *       that a response leaves without a request. A client that is told so by the close asks elsewhere.
 *   <li>A request that arrives in full after that time, on a connection that could not be closed, has to be answered
 *       in full before SIGKILL. How long a streamed response takes is up to the server and the client, so that such a
 *       request gets a buffered response, or 502 where the server starts a larger one.
 *   <li>At the shutdown deadline, each request without a response fails. It gets 503 if the balancer never requested an
 *       attempt, else 502, because a server may have run it. Attempts that certainly did not run count as well: those
 *       that were never sent, that found no connection, or that a full server rejected. A response that is being
 *       streamed goes on if it is large or is likely to become so.
 * </ul>
 *
 * <p>The shutdown deadline is shortly before the platform sends SIGKILL. A request that is still open at SIGKILL ends
 * with a reset connection, and its client cannot tell whether a retry is safe. On the platform this is allowed only for
 * a request that came up to 0.7 s after SIGTERM.
 *
 * <p>Without a handover ({@link ClientServer#drain}), the node accepts connections for the grace period and then closes
 * the listening socket. With a handover ({@link ClientServer#drainForHandover}), the next process of the node accepts
 * on the same listening socket, so this process stops accepting at once. In both cases a connection on which a request
 * has partly arrived stays open until the response.
 */
final class GracefulShutdown {
    /** The platform grants a node its longest class deadline after SIGTERM, but never more than this. */
    private static final long MAX_GRACE_DEADLINE_US = 3_000_000;
    /** How long after the granted deadline the platform kills the process. */
    private static final long KILL_DELAY_US = 700_000;
    /** How long before the kill the last responses are written, so that they still reach their clients. */
    private static final long RESPONSE_MARGIN_US = 200_000;

    /**
     * How long after SIGTERM new requests are served like any other. On the platform, new connections arrive for up to
     * 0.4 s after SIGTERM, and SIGKILL may cut off the responses to requests that came up to 0.7 s after it.
     */
    private static final long GRACE_PERIOD_US = 500_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private final RequestServices services;
    private final RequestTable requests;
    private final ClientServer clients;
    private final ConfigReloader config;
    private final boolean handsOverListener;

    /** @param handsOverListener whether the next process of the node accepts on the same listening socket */
    GracefulShutdown(
            RequestServices services,
            RequestTable requests,
            ClientServer clients,
            ConfigReloader config,
            boolean handsOverListener) {
        this.services = services;
        this.requests = requests;
        this.clients = clients;
        this.config = config;
        this.handsOverListener = handsOverListener;
    }

    /**
     * Starts to drain. Runs on the event loop.
     *
     * @param signalledAtNanos when the process got SIGTERM, by {@link System#nanoTime}
     * @param onDrained called on the event loop once no client is connected and this process no longer accepts
     *     connections
     */
    void begin(long signalledAtNanos, Runnable onDrained) {
        Log.info("draining", "open_requests", requests.pendingCount());
        long signalledAtUs = services.clock().unixMicrosOf(signalledAtNanos);
        long graceEndsAtUs = signalledAtUs + GRACE_PERIOD_US;
        long shutdownAtUs = signalledAtUs + drainTimeoutUs();
        requests.setShutdown(graceEndsAtUs, shutdownAtUs);
        services.loop().schedule(requests::failPending, delayUntilUs(shutdownAtUs), TimeUnit.MICROSECONDS);
        long graceMs = delayUntilUs(graceEndsAtUs) / MICROS_PER_MILLI;
        if (handsOverListener) {
            clients.drainForHandover(graceMs, onDrained);
        } else {
            clients.drain(graceMs, onDrained);
        }
    }

    private long delayUntilUs(long atUs) {
        return Math.max(0, atUs - services.clock().nowUs());
    }

    /**
     * Returns the time from SIGTERM to the shutdown deadline. Like the platform, it uses the longest class
     * deadline of the configuration file in effect.
     */
    private long drainTimeoutUs() {
        long grantedDeadlineUs =
                Math.min(MAX_GRACE_DEADLINE_US, config.classes().longestDeadlineUs());
        return grantedDeadlineUs + KILL_DELAY_US - RESPONSE_MARGIN_US;
    }
}
