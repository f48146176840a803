package loadbalancer.policy;

/**
 * A client's request that has no final response yet, or has attempts in flight, with its attempts by number. Contains
 * no rules.
 */
final class PendingRequest {
    private enum State {
        /**
         * Has attempts in flight. Also the state while the balancer handles the arrival or an outcome, before it sends,
         * queues or ends the request.
         */
        IN_PROGRESS,
        /** Waits in the {@link PendingQueue}. */
        QUEUED,
        /** Needs no final response any more; attempts may still be in flight. */
        ENDED
    }

    /** Value of {@link #boundAttempt} if the request is not bound to any attempt. */
    static final int UNBOUND = -1;

    final long id;
    final int classIndex;
    final RequestClass requestClass;
    final long arrivedAtUs;
    final long latencyObjectiveUs;
    /** The latest time at which a response has the full weight of its class. */
    final long objectiveAtUs;

    final long deadlineAtUs;
    /** Seed of the draws by the request's key; {@link KeyAffinityPicker#NO_KEY} without a key. */
    final long keySeed;

    /** Server of each attempt. */
    final ServerRecord[] servers;

    /** When each attempt was sent. */
    final long[] sentAtUs;
    /** Result of each attempt; null while it is in flight. */
    final AttemptResult[] results;
    /** Attempts that were counted as failures before their outcome. */
    final boolean[] countedAsFailure;
    /** Whether a part of the response to each attempt has arrived. */
    final boolean[] responding;

    int attempts;
    int outstanding;
    /** Weight per expected work, which orders the queue; see {@link RequestPriority}. */
    double value;
    /** Whether {@link #value} has been reduced to that of a response after the latency objective. */
    boolean valuedAsLate;

    /** Whether the client has left or the node has sent the final response itself. */
    boolean withdrawn;
    /** The attempt that the request is bound to, see {@link Balancer#onFirstByte}. */
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
        responding = new boolean[maxAttempts];
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

    /** Whether the request has ended and none of its attempts is in flight. */
    boolean isFinished() {
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

    /** Adds an attempt, which removes the request from the queue; returns its number. */
    int addAttempt(ServerRecord server, long nowUs) {
        state = State.IN_PROGRESS;
        int attempt = attempts++;
        servers[attempt] = server;
        sentAtUs[attempt] = nowUs;
        outstanding++;
        return attempt;
    }

    /** Whether an attempt with this number exists and is in flight. */
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
     * Returns the earliest attempt that may have run, or -1 if it is certain that none has. This attempt restricts
     * further attempts and the final response.
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
