package loadbalancer.process;

import io.netty.util.concurrent.Future;
import loadbalancer.client.ClientServer;
import loadbalancer.common.Log;
import loadbalancer.eventloop.LoopLagMeter;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;

/**
 * The periodic work of a node: closes connections that have been idle for too long, ends attempts whose transfer has
 * stalled, reads cordons that another process has changed, and logs stalls of the event loop.
 *
 * <p>An event loop stall is a time in which the loop polls no sockets, either because one of its tasks takes long or
 * because its thread does not get processor time. Stalls are logged because all requests share one loop: during a stall
 * the node reads no requests, and clients see timeouts that no other log line explains. {@link LoopLagMeter} accounts
 * for the time that requests wait through a stall.
 *
 * <p>{@link #start} may be called from any thread. All other methods run on the event loop.
 */
final class Housekeeping {
    static final long INTERVAL_MILLIS = 250;
    /** A run that is late by more than this counts as a stall of the event loop. */
    private static final long STALL_THRESHOLD_US = 200_000;

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final MeasuredEventLoop loop;
    private final RequestServices services;
    private final ClientServer clients;
    private final RequestTable requests;
    private final ServerListUpdater serverList;
    private Future<?> timer;
    private long lastRunUs;

    Housekeeping(
            MeasuredEventLoop loop,
            RequestServices services,
            ClientServer clients,
            RequestTable requests,
            ServerListUpdater serverList) {
        this.loop = loop;
        this.services = services;
        this.clients = clients;
        this.requests = requests;
        this.serverList = serverList;
    }

    /** Starts the timer that runs the housekeeping every {@value #INTERVAL_MILLIS} ms. */
    void start() {
        lastRunUs = services.clock().nowUs();
        timer = loop.repeat(this::run, INTERVAL_MILLIS);
    }

    void stop() {
        timer.cancel(false);
    }

    private void run() {
        logStall();
        services.pool().evictIdle();
        clients.closeExpired();
        requests.expireStalled();
        serverList.refreshCordons();
    }

    private void logStall() {
        long nowUs = services.clock().nowUs();
        long lateUs = nowUs - lastRunUs - INTERVAL_MILLIS * MICROS_PER_MILLI;
        lastRunUs = nowUs;
        LoopLagMeter.LoopActivity activity = loop.lagMeter().takeLoopActivity();
        if (lateUs <= STALL_THRESHOLD_US) {
            return;
        }
        Log.warn(
                "event_loop_stalled",
                "ms",
                lateUs / MICROS_PER_MILLI,
                "turns",
                activity.turns(),
                "longest_handling_ms",
                activity.longestHandlingNanos() / NANOS_PER_MILLI,
                "longest_tasks_ms",
                activity.longestTasksNanos() / NANOS_PER_MILLI);
    }
}
