package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * What a server that warms up may get. Its requests are spaced: the gap between two is that of an even part of what
 * this node gets answered, divided by the share of its capacity that the server has by now at least and by the
 * multiple that the settings allow. Arrivals would be no measure of traffic, as they grow while answers stall.
 *
 * <p>All nodes together may send the settings' multiple; each spends half of it, or all while the server reports less
 * than half of the mean load. The concurrency limit holds a server that is slower still below even that.
 *
 * <p>Harm: a server that warms up faster than assumed idles. Single-threaded; no I/O.
 */
final class SlowStart {
    /** Gap between answers that is assumed before any was seen: long, so that little is sent to servers warming up. */
    private static final double INITIAL_ANSWER_GAP_US = 50_000;
    /** Cost of a request whose key the server does not know, against the mean cost; a cautious guess. */
    private static final double UNKNOWN_KEY_COST = 3;
    /** A server that reports less load than the mean by this factor has room for all that is allowed. */
    private static final double IDLE_FACTOR = 2;
    /** What a server that has no such room gets of what is allowed: chance adds the rest. */
    private static final double NORMAL_BUDGET_SHARE = 0.5;

    private final BalancerState state;
    private long lastAnswerAtUs;
    private double answerGapUs = INITIAL_ANSWER_GAP_US;

    SlowStart(BalancerState state) {
        this.state = state;
    }

    /** Gaps between answers count from the first endpoint list on, not from the start of the clock. */
    void onServersChosen(long nowUs) {
        if (lastAnswerAtUs == 0) {
            lastAnswerAtUs = nowUs;
        }
    }

    /** A request was answered, by any server. */
    void onSuccess(long nowUs) {
        answerGapUs += RunningMean.GAIN * (nowUs - lastAnswerAtUs - answerGapUs);
        lastAnswerAtUs = nowUs;
    }

    boolean isWarmingUp(ServerRecord server, long nowUs) {
        return server.startedAtUs > 0 && nowUs < server.startedAtUs + state.settings.warmUpUs;
    }

    /** Whether a server is warm, or its next slot has come. */
    boolean maySend(ServerRecord server, long nowUs) {
        return !isWarmingUp(server, nowUs) || nowUs >= server.warmUpSlotAtUs + gapUs(server, nowUs);
    }

    /** Starts a server's slots at a random time: all nodes learn of a start at once and would send together. */
    void assignFirstSlot(ServerRecord server, SplittableRandom random, long nowUs) {
        if (isWarmingUp(server, nowUs) && server.warmUpSlotAtUs == 0) {
            server.warmUpSlotAtUs = nowUs - (long) (random.nextDouble() * gapUs(server, nowUs));
        }
    }

    /**
     * Takes a slot. The next gap counts from the slot, not from the send: a request that draws the server comes late
     * where traffic is thin, and the slots lost by that would be most of them.
     */
    void onSent(ServerRecord server, long nowUs) {
        if (isWarmingUp(server, nowUs)) {
            server.warmUpSlotAtUs =
                    Math.max((long) (nowUs - evenGapUs(nowUs)), server.warmUpSlotAtUs + gapUs(server, nowUs));
        }
    }

    /** A new process: its slots begin anew. */
    void reset(ServerRecord server) {
        server.warmUpSlotAtUs = 0;
    }

    private long gapUs(ServerRecord server, long nowUs) {
        BalancerSettings settings = state.settings;
        double age = Math.max(0, nowUs - server.startedAtUs) / (double) settings.warmUpUs;
        double capacityShare = settings.warmUpInitialShare + (1 - settings.warmUpInitialShare) * Math.min(1, age);
        double room = meanLoadRatio(server);
        double budgetShare = room < IDLE_FACTOR ? NORMAL_BUDGET_SHARE : 1;
        double multiple = Math.max(1, settings.overloadMultiple * budgetShare);
        // Once it reports no more load than others, it bears what unknown keys cost.
        double requestCost = settings.keyAffinity && room < 1 ? UNKNOWN_KEY_COST : 1;
        return (long) (evenGapUs(nowUs) * requestCost / (capacityShare * multiple));
    }

    /**
     * The mean reported load divided by the server's; 0 if it has reported none since it started. Where neither it nor
     * any other holds anything, this is NaN, which no comparison holds for: the server then counts as idle.
     */
    private double meanLoadRatio(ServerRecord server) {
        return server.reportedAtUs > server.startedAtUs
                ? state.totalReportedLoad / state.servers.length / server.reportedLoad
                : 0;
    }

    /** Time between two requests to a server that gets an even part of what this node gets answered. */
    private double evenGapUs(long nowUs) {
        return Math.max(answerGapUs, RunningMean.GAIN * (nowUs - lastAnswerAtUs)) * Math.max(1, state.servers.length);
    }
}
