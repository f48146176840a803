package loadbalancer.process;

import java.util.concurrent.TimeUnit;
import loadbalancer.client.ClientServer;
import loadbalancer.common.Log;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;

/**
 * What a node does from SIGTERM until it has drained.
 *
 * <p>A request that waits for a server, or for the response of one, goes on as if there were no shutdown: it is sent,
 * retried and hedged as ever, and gets its one response. What changes for it:
 *
 * <ul>
 *   <li>Its response says {@code Connection: close} and ends the client's connection.
 *   <li>If it arrives after SIGTERM, the shutdown deadline is its deadline where its own is later.
 *   <li>At the shutdown deadline it fails, if it has no response yet: with 503 if no attempt was started, with 502 if a
 *       server may have run it. A response that is being transferred goes on.
 * </ul>
 *
 * <p>The shutdown deadline guards against the kill: the platform sends SIGKILL at a fixed time after SIGTERM, and a
 * request that is open then ends in a reset connection, from which its client cannot tell whether it may repeat it.
 *
 * <p>Clients' connections are drained by {@link ClientServer#drain}, or by {@link ClientServer#drainForHandover}
 * where the platform holds the listening socket and the next process of the node accepts on it.
 */
final class GracefulShutdown {
    /** The platform lets a node run for its longest deadline after SIGTERM; of a longer one it counts this much. */
    private static final long MAX_GRACE_DEADLINE_US = 3_000_000;
    /** After that time the platform waits for this long, then it kills the process. */
    private static final long KILL_DELAY_US = 700_000;
    /** How long before the kill the last response is written, so that it still reaches its client. */
    private static final long RESPONSE_MARGIN_US = 200_000;
    /** A handover closes idle connections this long before the shutdown deadline, as most requests need less. */
    private static final long IDLE_CLOSE_MARGIN_US = 800_000;

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

    /** Begins to drain; on the event loop. Calls back once no client is connected and none can connect any more. */
    void begin(Runnable onDrained) {
        Log.info("draining", "open_requests", requests.pendingCount());
        long drainTimeoutUs = drainTimeoutUs();
        requests.setShutdownDeadline(services.clock().nowUs() + drainTimeoutUs);
        services.loop().schedule(requests::failPending, drainTimeoutUs, TimeUnit.MICROSECONDS);
        if (handsOverListener) {
            long idleUs = Math.max(0, drainTimeoutUs - IDLE_CLOSE_MARGIN_US);
            clients.drainForHandover(idleUs / MICROS_PER_MILLI, onDrained);
        } else {
            clients.drain(onDrained);
        }
    }

    /** By when every request has its response; reckoned from the file as it is now, as the platform does. */
    private long drainTimeoutUs() {
        long countedDeadlineUs =
                Math.min(MAX_GRACE_DEADLINE_US, config.classes().longestDeadlineUs());
        return countedDeadlineUs + KILL_DELAY_US - RESPONSE_MARGIN_US;
    }
}
