package loadbalancer.policy;

/**
 * Picks the server for a retry or a hedged attempt: the next one in list order that the request was not sent to. A
 * request with a key that certainly has not run goes to its key's next server instead.
 */
final class RetryPicker {
    private final BalancerState state;
    private final KeyAffinityPicker keyAffinityPicker;
    private final ServerEligibility eligibility;

    RetryPicker(BalancerState state, KeyAffinityPicker keyAffinityPicker, ServerEligibility eligibility) {
        this.state = state;
        this.keyAffinityPicker = keyAffinityPicker;
        this.eligibility = eligibility;
    }

    /**
     * Returns a server for the next attempt after one at {@code previous}, or null if the request may not be sent to
     * any now.
     */
    ServerRecord pick(PendingRequest request, ServerRecord previous, long nowUs) {
        if (request.hasKey() && request.earliestThatMayHaveRun() < 0) {
            return keyAffinityPicker.pickUntried(request, state.allServers, nowUs);
        }
        ServerRecord[] servers = state.servers;
        for (int i = 1; i <= servers.length; i++) {
            ServerRecord next = servers[(previous.position + i) % servers.length];
            if (!request.wasSentTo(next) && eligibility.maySend(request, next, nowUs)) {
                return next;
            }
        }
        return null;
    }
}
