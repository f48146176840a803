package loadbalancer.policy;

/**
 * Adaptive limits on the attempts in flight, per server and in total.
 *
 * <p>A server's limit grows (additive increase) with each response that is not slow and whose load report predicts no
 * late response, provided that an attempt at the server was held back since the request was sent. A response here is a
 * successful one: error responses change no limit. Without key affinity, the increase is smaller while attempts are
 * late. The limit of a warming server grows only while it is below the mean. A limit is cut (multiplicative decrease)
 * when a response is slow or its load report predicts late responses, when an attempt is cancelled after as long as a
 * slow response takes because its request was withdrawn, and when an attempt is rejected or times out.
 *
 * <p>An attempt is held back if it would exceed the server's limit or the sum of all limits. The sum matters where many
 * nodes share a server: each limit may then be below one, and an idle server still takes one attempt. Without the sum,
 * every node could have an attempt in flight at every server at once after a stall.
 *
 * <p>A limit below one is enforced by time, so that this node uses the server for that share of the time: the outcome
 * of each attempt, also of a failed one, pauses the server for the latency / limit, at most for {@link #MAX_PAUSE_US}.
 * The pause counts from when the attempt was sent or from the end of the previous pause, whichever is later, so pauses
 * add up. Outcomes of requests that are bound to an attempt are ignored.
 *
 * <p>Trade-off: after a short fault a server stays below its capacity until its limit has grown back.
 */
final class ConcurrencyLimiter {
    /** Initial limit of a server, summed over all nodes: low enough for a server of one core. */
    private static final double INITIAL_LIMIT = 4;
    /**
     * Initial limit where servers cache keys, summed over all nodes. It is higher than any server's load, so that the
     * first cut sets the limit to the actual load.
     */
    private static final double INITIAL_LIMIT_WITH_KEYS = 64;
    /**
     * Added to the limit per response that may increase it, with one node per server. Reduced while attempts are late
     * (see {@link #growthShare}), and by the relative value of the request where many nodes share each server.
     */
    private static final double INCREASE = 0.15;

    /** Share cut from the limit after a slow response, with one node per server. */
    private static final double DECREASE = 0.1;
    /** Share cut from the limit after a timed-out attempt, and after a rejected one where servers cache no keys. */
    private static final double STRONG_DECREASE = 0.3;
    /**
     * Exponent of the number of nodes per server that scales the steps. With an exponent of 0, nodes adapt slowly; with
     * an exponent of 0.5, limits oscillate.
     */
    private static final double STEP_SCALE_EXPONENT = 0.25;
    /**
     * Least share of the increase while attempts are late, so that limits can grow back at all. Applies once 45 % or
     * more of the recent attempts are late.
     */
    private static final double MIN_GROWTH_SHARE = 0.1;
    /**
     * Responses slower than this share of the objective indicate overload; the rest is a margin for random variation.
     */
    private static final double SLOW_OBJECTIVE_SHARE = 0.35;
    /**
     * The same share with key affinity or many nodes per server: load is uneven then, so that servers with spare
     * capacity are slow at times.
     */
    private static final double SLOW_OBJECTIVE_SHARE_UNEVEN = 0.7;
    /**
     * Responses that take this many times the least mean of their class indicate overload, however long the objective
     * is.
     */
    private static final double SLOW_LEAST_MEAN_FACTOR = 3;

    /** The same factor where many nodes share each server. */
    private static final double SLOW_LEAST_MEAN_FACTOR_MANY_NODES = 2 * SLOW_LEAST_MEAN_FACTOR;
    /** Longest pause of a server whose limit is below one. */
    private static final long MAX_PAUSE_US = 2_000_000;
    /**
     * Most attempts that a node may send ahead of a limit or a pause where many nodes share a server, as arrivals come
     * in bursts.
     */
    private static final double BURST = 2;

    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;
    private final RequestPriority priority;
    private final OnTimeRatio onTimeRatio;
    private final SlowStart slowStart;
    private final LoadReports loadReports;
    private double increase;
    private double decrease;

    ConcurrencyLimiter(
            BalancerState state,
            PerClass<ClassLatency> latencies,
            RequestPriority priority,
            OnTimeRatio onTimeRatio,
            SlowStart slowStart,
            LoadReports loadReports) {
        this.state = state;
        this.latencies = latencies;
        this.priority = priority;
        this.onTimeRatio = onTimeRatio;
        this.slowStart = slowStart;
        this.loadReports = loadReports;
    }

    /**
     * Scales both steps to the number of nodes per server: the more nodes, the smaller the increase and the larger the
     * cut.
     */
    void onNodesPerServer(double nodesPerServer) {
        double stepScale = Math.pow(nodesPerServer, STEP_SCALE_EXPONENT);
        increase = INCREASE / stepScale;
        decrease = 1 - Math.pow(1 - DECREASE, stepScale);
    }

    /** Sets the initial limit of a server, once the number of nodes that share it is known. */
    void assignFirstLimit(ServerRecord server, long nowUs) {
        if (server.limit == 0) {
            // A warming server has cached no keys, and receives too few requests for its limit to be cut before it is
            // warm. With the high limit, all nodes together would then overload it.
            boolean cachesKeys = state.settings.keyAffinity && !slowStart.isWarmingUp(server, nowUs);
            server.limit = (cachesKeys ? INITIAL_LIMIT_WITH_KEYS : INITIAL_LIMIT) / state.nodesPerServer;
        }
    }

    /** Resets the limit of a server that may be a new process to the low initial limit, as for a warming server. */
    void reset(ServerRecord server) {
        server.limit = INITIAL_LIMIT / state.nodesPerServer;
    }

    /**
     * Whether a further attempt must be held back because of the server's limit or the sum of all limits. Records the
     * time if so.
     */
    boolean isAtLimit(PendingRequest request, ServerRecord server, long nowUs) {
        boolean exceedsServer = server.inFlight + 1 > server.limit;
        boolean exceedsTotal = state.totalInFlight + 1 > state.totalLimit;
        if (!exceedsServer && !exceedsTotal) {
            return false;
        }
        // The allowance for bursts shrinks as responses come late: in an overload it would keep the servers overloaded.
        double margin = state.manyNodesPerServer ? Math.max(0, onTimeRatio.margin()) : 0;
        double burst = state.manyNodesPerServer ? BURST * priority.relativeValue(request) : 0;
        boolean isServerBusy =
                server.inFlight > margin * burst || nowUs < server.pausedUntilUs - margin * burst * server.pauseUs;
        boolean atLimit = exceedsServer && isServerBusy || exceedsTotal && state.totalInFlight > margin * (1 + burst);
        if (atLimit) {
            server.limitReachedAtUs = nowUs;
        }
        return atLimit;
    }

    /** Adapts the limit of the attempt's server. */
    void onOutcome(PendingRequest request, int attempt, long latencyUs, LoadSignal signal, long nowUs) {
        ServerRecord server = request.servers[attempt];
        long sentAtUs = request.sentAtUs[attempt];
        double limitBefore = server.limit;
        switch (signal) {
            case ANSWERED, ABANDONED -> adaptToLatency(request, attempt, latencyUs, signal, nowUs);
            // With key affinity, a full server's limit is cut only to its load: a lower limit would move its keys to
            // servers that have not cached them.
            case REJECTED -> decrease(server, sentAtUs, state.settings.keyAffinity ? 0 : STRONG_DECREASE, nowUs);
            case TIMED_OUT -> decrease(server, sentAtUs, STRONG_DECREASE, nowUs);
            default -> {}
        }
        if (server.limit < 1) {
            server.pauseUs = Math.min(MAX_PAUSE_US, (long) (latencyUs / server.limit));
            server.pausedUntilUs = Math.max(server.pausedUntilUs, sentAtUs) + server.pauseUs;
        }
        if (state.isCounted(server)) {
            state.totalLimit += server.limit - limitBefore;
        }
    }

    private void adaptToLatency(PendingRequest request, int attempt, long latencyUs, LoadSignal signal, long nowUs) {
        ServerRecord server = request.servers[attempt];
        long sentAtUs = request.sentAtUs[attempt];
        double relativeValue = state.manyNodesPerServer ? priority.relativeValue(request) : 1;
        if (latencyUs > slowResponseUs(request) || loadReports.predictsLateResponse(server, nowUs)) {
            decrease(server, sentAtUs, decrease * relativeValue, nowUs);
        } else if (signal == LoadSignal.ANSWERED && mayGrow(server, sentAtUs, nowUs)) {
            server.limit += increase * relativeValue * growthShare();
        }
    }

    /** Latency above which a response to this request indicates overload. */
    private double slowResponseUs(PendingRequest request) {
        boolean keyAffinity = state.settings.keyAffinity;
        ClassLatency latency = latencies.get(request.classIndex);
        boolean uneven = keyAffinity || state.manyNodesPerServer && latency.hasLeastMean();
        double ofObjective = (uneven ? SLOW_OBJECTIVE_SHARE_UNEVEN : SLOW_OBJECTIVE_SHARE) * request.latencyObjectiveUs;
        if (keyAffinity) {
            return ofObjective;
        }
        double factor = state.manyNodesPerServer ? SLOW_LEAST_MEAN_FACTOR_MANY_NODES : SLOW_LEAST_MEAN_FACTOR;
        return Math.min(ofObjective, factor * latency.leastMeanUs());
    }

    /**
     * Whether a response may increase the limit: only if an attempt at the server has been held back since the request
     * was sent. The limit of a warming server must not exceed the mean limit: its few requests are served quickly, and
     * when slow start ends all nodes together would overload it.
     */
    private boolean mayGrow(ServerRecord server, long sentAtUs, long nowUs) {
        boolean wasReached = server.limitReachedAtUs >= sentAtUs;
        return wasReached
                && (!slowStart.isWarmingUp(server, nowUs) || server.limit * state.servers.length < state.totalLimit);
    }

    /**
     * Share of the increase that applies now: the on-time margin, but at least {@link #MIN_GROWTH_SHARE}. The more
     * attempts are late, the weaker is the evidence of a response in time, and growth would prolong the overload. With
     * key affinity the whole increase always applies.
     */
    private double growthShare() {
        return state.settings.keyAffinity ? 1 : Math.max(MIN_GROWTH_SHARE, onTimeRatio.margin());
    }

    /**
     * Cuts a limit, once for all attempts that were sent before the last cut, but not below this node's share of one
     * attempt.
     */
    private void decrease(ServerRecord server, long sentAtUs, double share, long nowUs) {
        if (sentAtUs >= server.limitDecreasedAtUs) {
            // With key affinity a limit may be far above any load that occurred, so the cut starts from the actual
            // load.
            double base = state.settings.keyAffinity ? Math.min(server.limit, server.inFlight + 1) : server.limit;
            server.limit = Math.max(1.0 / state.nodesPerServer, base * (1 - share));
            server.limitDecreasedAtUs = nowUs;
        }
    }
}
