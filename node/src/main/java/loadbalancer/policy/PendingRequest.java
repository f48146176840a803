package loadbalancer.policy;

/**
 * A client's request that is still owed an answer, or whose attempts have not all ended, with its attempts by number.
 * Plain state without rules.
 */
final class PendingRequest {
    private enum State {
        /** Has attempts in flight, or is about to be sent, queued or answered. */
        IN_PROGRESS,
        /** Waits in the {@link PendingQueue}. */
        QUEUED,
        /** Nothing is owed any more; attempts may still be in flight. */
        ENDED
    }

    /** Value of {@link #boundAttempt} while the request is bound to none. */
    static final int UNBOUND = -1;

    final long id;
    final int classIndex;
    final RequestClass requestClass;
    final long arrivedAtUs;
    final long latencyObjectiveUs;
    /** An answer by then earns the full weight. */
    final long objectiveAtUs;

    final long deadlineAtUs;
    /** Fixes the draws by the request's key; 0 without one. */
    final long keySeed;

    /** Servers, times and results of the attempts; a result is null while the attempt is in flight. */
    final ServerRecord[] servers;

    final long[] sentAtUs;
    final AttemptResult[] results;
    /** Attempts that were counted as failures before they ended. */
    final boolean[] countedAsFailure;

    int attempts;
    int outstanding;
    /** What it earns for its work; the queue's order. */
    double value;
    /** Whether {@link #value} is that of an answer after the latency objective. */
    boolean valuedAsLate;

    boolean clientGone;
    /**
     * The attempt that the request is bound to: part of its answer or of the request has gone, see {@link
     * Balancer#onFirstByte}.
     */
    int boundAttempt = UNBOUND;

    private State state = State.IN_PROGRESS;

    PendingRequest(
            BalancerRequest request,
            RequestClass requestClass,
            int maxAttempts,
            long arrivedAtUs,
            long deadlineAtUs,
            long latencyObjectiveUs,
            long objectiveAtUs,
            long keySeed) {
        id = request.id();
        classIndex = request.classIndex();
        this.requestClass = requestClass;
        this.arrivedAtUs = arrivedAtUs;
        this.latencyObjectiveUs = latencyObjectiveUs;
        this.objectiveAtUs = objectiveAtUs;
        this.keySeed = keySeed;
        this.deadlineAtUs = deadlineAtUs;
        servers = new ServerRecord[maxAttempts];
        sentAtUs = new long[maxAttempts];
        results = new AttemptResult[maxAttempts];
        countedAsFailure = new boolean[maxAttempts];
    }

    void enqueue() {
        state = State.QUEUED;
    }

    void end() {
        state = State.ENDED;
    }

    boolean isQueued() {
        return state == State.QUEUED;
    }

    boolean isEnded() {
        return state == State.ENDED;
    }

    /** Whether it ended and none of its attempts is in flight. */
    boolean isOver() {
        return isEnded() && outstanding == 0;
    }

    boolean isBound() {
        return boundAttempt != UNBOUND;
    }

    boolean hasKey() {
        return keySeed != KeyAffinityPicker.NO_KEY;
    }

    int maxAttempts() {
        return servers.length;
    }

    /** Adds an attempt, which takes the request out of the queue; returns its number. */
    int addAttempt(ServerRecord server, long nowUs) {
        state = State.IN_PROGRESS;
        int attempt = attempts++;
        servers[attempt] = server;
        sentAtUs[attempt] = nowUs;
        outstanding++;
        return attempt;
    }

    /** Whether there is such an attempt and it has not ended. */
    boolean isInFlight(int attempt) {
        return attempt >= 0 && attempt < attempts && results[attempt] == null;
    }

    void recordResult(int attempt, AttemptResult result) {
        results[attempt] = result;
        outstanding--;
    }

    boolean wasSentTo(ServerRecord server) {
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (servers[attempt] == server) {
                return true;
            }
        }
        return false;
    }

    /**
     * The earliest attempt that is not known never to have run, or -1. It is what restricts further attempts and what
     * may be said to the client.
     */
    int earliestThatMayHaveRun() {
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (results[attempt] == null || !results[attempt].neverRan) {
                return attempt;
            }
        }
        return -1;
    }
}
