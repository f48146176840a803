package loadbalancer.policy;

/**
 * The server for a first attempt, or for a request that has waited. An ejected server that is due for a trial request
 * comes first, then the choice by weight, then an ejected server as a fallback.
 *
 * <p>Where crossing zones costs, the choice is among local servers, and a second one among all wins only if the local
 * choice found none, has errors the other lacks, or has {@link #SPILL_IN_FLIGHT} requests more in flight. Harm: other
 * zones stay idle while the local one is a little busier. Single-threaded; no I/O.
 */
final class FirstAttemptPicker {
    /** Own requests in flight from which on a local server is compared with others, and the lead that others need. */
    private static final int SPILL_IN_FLIGHT = 2;

    private final BalancerState state;
    private final TrialRequests trialRequests;
    private final WeightedServerPicker weightedPicker;

    FirstAttemptPicker(BalancerState state, TrialRequests trialRequests, WeightedServerPicker weightedPicker) {
        this.state = state;
        this.trialRequests = trialRequests;
        this.weightedPicker = weightedPicker;
    }

    /** A server for the request, or null if none may be sent to now. */
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
