package loadbalancer.process;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.client.ClientServer;
import loadbalancer.common.Log;
import loadbalancer.eventloop.LoopLagMeter;
import loadbalancer.eventloop.MeasuredEventLoop;
import loadbalancer.request.RequestServices;
import loadbalancer.request.RequestTable;

/**
 * The periodic work of a node: closes connections that have been idle for too long, fails transfers that make no
 * progress, follows cordons, and logs stalls of the event loop.
 *
 * <p>A stall is logged because all of the work is done on one loop: while it stalls nothing is answered, and clients
 * see time-outs that no other log line explains.
 *
 * <p>Runs on the event loop.
 */
final class Housekeeping {
    static final long INTERVAL_MILLIS = 250;
    /** Housekeeping that runs late by more than this shows a stall. */
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

    /** Runs it every {@value #INTERVAL_MILLIS} ms from now on. */
    void start() {
        lastRunUs = services.clock().nowUs();
        timer = loop.scheduleAtFixedRate(this::run, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
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
