package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Limits the rate of requests to warming servers. A server is warm once {@link BalancerSettings#warmUpUs} have passed
 * since its start; nothing that it reports ends the warm-up earlier. The interval between two requests is that of an
 * even share of this node's responses, divided by the minimum share of its capacity that the server has reached and by
 * the multiple that the settings allow. With key affinity it is three times as long while the server reports more than
 * the mean load, or has reported none, because requests with keys that it has not cached cost more. The rate of
 * arrivals is not used, because it grows while responses stall.
 *
 * <p>All nodes together may send the settings' multiple of the server's capacity. Each node uses half of it, or all of
 * it while the server reports at most half of the mean load; the multiple used is never below 1. The concurrency limit
 * restricts a server that is even slower.
 *
 * <p>Trade-off: a server that warms up faster than assumed is partly idle.
 */
final class SlowStart {
    /**
     * Interval between responses that is assumed before the first response: long, so that little is sent to warming
     * servers.
     */
    private static final double INITIAL_RESPONSE_INTERVAL_US = 50_000;
    /** Cost of a request whose key the server has not cached, as a multiple of the mean cost; a cautious estimate. */
    private static final double UNKNOWN_KEY_COST = 3;
    /** Factor by which a server's reported load must be below the mean for it to receive all that is allowed. */
    private static final double IDLE_FACTOR = 2;
    /** Share of the allowed multiple for other servers: random variation uses up the rest. */
    private static final double NORMAL_BUDGET_SHARE = 0.5;

    private final BalancerState state;
    private long lastResponseAtUs;
    private double responseIntervalUs = INITIAL_RESPONSE_INTERVAL_US;

    SlowStart(BalancerState state) {
        this.state = state;
    }

    /** Makes intervals between responses count from the first endpoint list instead of from the origin of the clock. */
    void onServersChosen(long nowUs) {
        if (lastResponseAtUs == 0) {
            lastResponseAtUs = nowUs;
        }
    }

    /** Records a successful response of any server. */
    void onSuccess(long nowUs) {
        responseIntervalUs += RunningMean.GAIN * (nowUs - lastResponseAtUs - responseIntervalUs);
        lastResponseAtUs = nowUs;
    }

    boolean isWarmingUp(ServerRecord server, long nowUs) {
        return server.startedAtUs > 0 && nowUs < server.startedAtUs + state.settings.warmUpUs;
    }

    /** Whether the server is warm, or the interval since its last slot has passed. */
    boolean maySend(ServerRecord server, long nowUs) {
        return !isWarmingUp(server, nowUs) || nowUs >= server.warmUpSlotAtUs + requestIntervalUs(server, nowUs);
    }

    /**
     * Starts a server's slots at a random time: all nodes learn of a start at the same time and would otherwise send
     * together.
     */
    void assignFirstSlot(ServerRecord server, SplittableRandom random, long nowUs) {
        if (isWarmingUp(server, nowUs) && server.warmUpSlotAtUs == 0) {
            server.warmUpSlotAtUs = nowUs - (long) (random.nextDouble() * requestIntervalUs(server, nowUs));
        }
    }

    /**
     * Uses a slot. The next interval counts from the slot and not from the send, but from at most one even-share
     * interval ago. Under light traffic the request that draws the server comes long after its slot, and counting from
     * the send would lose most slots.
     */
    void onSent(ServerRecord server, long nowUs) {
        if (isWarmingUp(server, nowUs)) {
            server.warmUpSlotAtUs = Math.max(
                    (long) (nowUs - evenShareIntervalUs(nowUs)),
                    server.warmUpSlotAtUs + requestIntervalUs(server, nowUs));
        }
    }

    /**
     * Discards the slots of a server whose process has been replaced; new ones are assigned with the next choice of
     * servers.
     */
    void reset(ServerRecord server) {
        server.warmUpSlotAtUs = 0;
    }

    private long requestIntervalUs(ServerRecord server, long nowUs) {
        BalancerSettings settings = state.settings;
        double age = Math.max(0, nowUs - server.startedAtUs) / (double) settings.warmUpUs;
        double capacityShare = settings.warmUpInitialShare + (1 - settings.warmUpInitialShare) * Math.min(1, age);
        double loadRatio = meanLoadRatio(server);
        double budgetShare = loadRatio < IDLE_FACTOR ? NORMAL_BUDGET_SHARE : 1;
        double multiple = Math.max(1, settings.overloadMultiple * budgetShare);
        // A server that has reported a load above the mean, or none yet, is charged the cost of keys that it has not
        // cached.
        double requestCost = settings.keyAffinity && loadRatio < 1 ? UNKNOWN_KEY_COST : 1;
        return (long) (evenShareIntervalUs(nowUs) * requestCost / (capacityShare * multiple));
    }

    /**
     * The mean reported load divided by the server's; 0 if it has reported none since it started. NaN if neither this
     * server nor any other has load: comparisons with NaN are false, so the server counts as idle.
     */
    private double meanLoadRatio(ServerRecord server) {
        return server.reportedAtUs > server.startedAtUs
                ? state.totalReportedLoad / state.servers.length / server.reportedLoad
                : 0;
    }

    /** Time between two requests to a server that receives an even share of this node's responses. */
    private double evenShareIntervalUs(long nowUs) {
        return Math.max(responseIntervalUs, RunningMean.GAIN * (nowUs - lastResponseAtUs))
                * Math.max(1, state.servers.length);
    }
}
