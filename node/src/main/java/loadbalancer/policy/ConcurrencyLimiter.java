package loadbalancer.policy;

/**
 * Adaptive limits on the attempts in flight, for each server and over all. A server's limit grows when it was met
 * while an attempt was out that was answered well within its latency objective (additive increase), and is cut when
 * an answer is slow or an attempt is rejected or times out (multiplicative decrease). Acts when a draw would exceed
 * the server's limit, or the sum of all: where many nodes send to one server, what each may have at every server would
 * else be out at once after a stall.
 *
 * <p>With many nodes a server's part for each may be under one attempt. It is then kept by time: after each attempt
 * the server rests so long that it is in use for that share of the time.
 *
 * <p>Harm: after a fault of short duration a server stays under its capacity while its limit grows back.
 * Single-threaded; no I/O.
 */
final class ConcurrencyLimiter {
    /** Limit of a server over all nodes at the start: few enough for a server of one core. */
    private static final double INITIAL_LIMIT = 4;
    /** The same where servers remember keys: above what any holds, so that the first cut finds what it does hold. */
    private static final double INITIAL_LIMIT_WITH_KEYS = 64;
    /** Growth over all nodes for an answer in good time, and cut for a slow one, with one node for each server. */
    private static final double INCREASE = 0.15;

    private static final double DECREASE = 0.1;
    /** Cut for a rejected attempt or one without an answer in time. */
    private static final double STRONG_DECREASE = 0.3;
    /** Power of the number of nodes with which both grow: at 0 nodes learn slowly, at 0.5 limits oscillate. */
    private static final double PACE_EXPONENT = 0.25;
    /** Share of the growth that stays when half of the answers come late, so that limits can grow back at all. */
    private static final double MIN_GROWTH_SHARE = 0.1;
    /** Answers slower than this share of the objective show overload; the rest is margin for chance. */
    private static final double SLOW_OBJECTIVE_SHARE = 0.35;
    /** The same with keys or many nodes: load then is uneven, so servers with room are slow at times. */
    private static final double SLOW_OBJECTIVE_SHARE_UNEVEN = 0.7;
    /** Answers that take this many times their class's least mean show overload, however far the objective is. */
    private static final double SLOW_LEAST_MEAN_FACTOR = 3;

    private static final double SLOW_LEAST_MEAN_FACTOR_MANY_NODES = 2 * SLOW_LEAST_MEAN_FACTOR;
    /** Longest pause of a server whose limit is under one. */
    private static final long MAX_PAUSE_US = 2_000_000;
    /** Attempts that one node of many may send ahead of such a pause, as arrivals come in bunches. */
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

    /** Sets the pace: both steps grow by the same factor, so that the balance over all nodes stays. */
    void onNodesPerServer(double nodesPerServer) {
        double pace = Math.pow(nodesPerServer, PACE_EXPONENT);
        increase = INCREASE / pace;
        decrease = 1 - Math.pow(1 - DECREASE, pace);
    }

    /** Gives a server its first limit, once it is known how many nodes share it. */
    void assignFirstLimit(ServerRecord server, long nowUs) {
        if (server.limit == 0) {
            // A server that warms up knows no keys. It gets too little to have its limit cut before it is warm, and
            // would then be filled up to the high limit by all nodes.
            boolean knowsKeys = state.settings.keyAffinity && !slowStart.isWarmingUp(server, nowUs);
            server.limit = (knowsKeys ? INITIAL_LIMIT_WITH_KEYS : INITIAL_LIMIT) / state.nodesPerServer;
        }
    }

    /** A server that may be a new process begins with little, as one that warms up. */
    void reset(ServerRecord server) {
        server.limit = INITIAL_LIMIT / state.nodesPerServer;
    }

    /** Whether a further attempt would exceed the server's limit or the sum of all; notes that the limit was met. */
    boolean isAtLimit(PendingRequest request, ServerRecord server, long nowUs) {
        boolean exceedsServer = server.inFlight + 1 > server.limit;
        boolean exceedsTotal = state.totalInFlight + 1 > state.totalLimit;
        if (!exceedsServer && !exceedsTotal) {
            return false;
        }
        // Sending ahead ends as answers come late: in an overload it would keep overloaded servers so.
        double margin = state.manyNodesPerServer ? Math.max(0, onTimeRatio.margin()) : 0;
        double burst = state.manyNodesPerServer ? BURST * priority.rank(request) : 0;
        boolean serverIsBusy =
                server.inFlight > margin * burst || nowUs < server.pausedUntilUs - margin * burst * server.pauseUs;
        boolean atLimit = exceedsServer && serverIsBusy || exceedsTotal && state.totalInFlight > margin * (1 + burst);
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
            // Where keys are warm a full server is cut to what it held: less would send its keys elsewhere.
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
        double rank = state.manyNodesPerServer ? priority.rank(request) : 1;
        if (latencyUs > slowAnswerUs(request) || loadReports.predictsLateAnswer(server, nowUs)) {
            decrease(server, sentAtUs, decrease * rank, nowUs);
        } else if (signal == LoadSignal.ANSWERED && mayGrow(server, sentAtUs, nowUs)) {
            server.limit += increase * rank * growthShare();
        }
    }

    /** The latency above which an answer to this request shows overload. */
    private double slowAnswerUs(PendingRequest request) {
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
     * A limit that was not met shows nothing. A server that warms up gets little and is quick with it: its limit must
     * not pass the mean, or all nodes together would overload it when slow start ends.
     */
    private boolean mayGrow(ServerRecord server, long sentAtUs, long nowUs) {
        boolean wasMet = server.limitReachedAtUs >= sentAtUs;
        return wasMet
                && (!slowStart.isWarmingUp(server, nowUs) || server.limit * state.servers.length < state.totalLimit);
    }

    /** While answers come late everywhere, one on time shows little; growth would prolong the overload. */
    private double growthShare() {
        return state.settings.keyAffinity ? 1 : Math.max(MIN_GROWTH_SHARE, onTimeRatio.margin());
    }

    /** Cuts a limit once for all that was sent before the last cut. */
    private void decrease(ServerRecord server, long sentAtUs, double share, long nowUs) {
        if (sentAtUs >= server.limitCutAtUs) {
            // With keys a limit may be far above what was ever in flight, and says nothing then.
            double from = state.settings.keyAffinity ? Math.min(server.limit, server.inFlight + 1) : server.limit;
            server.limit = Math.max(1.0 / state.nodesPerServer, from * (1 - share));
            server.limitCutAtUs = nowUs;
        }
    }
}
