package loadbalancer.policy;

/**
 * Picks the server for a first attempt, or for any attempt of a request from the queue, which may be a retry. An
 * ejected server that is due for a trial request comes first, then the choice by weight, then an ejected server as a
 * fallback.
 *
 * <p>Where crossing zones has a cost, the choice by weight is made among local servers. If it finds none, or one with
 * errors or with {@link #SPILL_IN_FLIGHT} requests in flight, a second choice is made among all servers. The second one
 * wins if there is no first one, or if it has fewer errors or at least {@link #SPILL_IN_FLIGHT} requests fewer in
 * flight.
 *
 * <p>Trade-off: servers in other zones stay idle while the local ones are slightly busier.
 */
final class FirstAttemptPicker {
    /**
     * Requests of this node in flight at which a local server is compared with others, and the difference at which
     * another server is preferred.
     */
    private static final int SPILL_IN_FLIGHT = 2;

    private final BalancerState state;
    private final TrialRequests trialRequests;
    private final WeightedServerPicker weightedPicker;

    FirstAttemptPicker(BalancerState state, TrialRequests trialRequests, WeightedServerPicker weightedPicker) {
        this.state = state;
        this.trialRequests = trialRequests;
        this.weightedPicker = weightedPicker;
    }

    /** Returns a server for the request, or null if the request may not be sent to any now. */
    ServerRecord pick(PendingRequest request, long nowUs) {
        ServerRecord due = trialRequests.pickDue(request, nowUs);
        if (due != null) {
            return due;
        }
        ServerRecord server = weightedPicker.pick(request, state.localServers, nowUs);
        if (state.localServers != state.allServers && mustBeCompared(server)) {
            ServerRecord other = weightedPicker.pick(request, state.allServers, nowUs);
            server = server == null || other != null && isClearlyBetter(other, server) ? other : server;
        }
        return server == null ? trialRequests.pickFallback(request, nowUs) : server;
    }

    private static boolean mustBeCompared(ServerRecord local) {
        return local == null || local.inFlight >= SPILL_IN_FLIGHT || local.errors > 0;
    }

    private static boolean isClearlyBetter(ServerRecord other, ServerRecord local) {
        return other.inFlight + SPILL_IN_FLIGHT <= local.inFlight || other.errors < local.errors;
    }
}
