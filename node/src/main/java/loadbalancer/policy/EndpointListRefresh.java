package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Schedules polls of the endpoint list, where the settings require polling. A poll is one call of {@link
 * BalancerActions#subscribe}, by which the node opens a watch: the list and its later changes arrive on that watch. A
 * poll is made at once after a cached list, again after half of the poll interval without a response, and with jittered
 * exponential backoff after a failure, so that nodes whose calls failed at the same time do not repeat them at the same
 * time. A list from the discovery service ends the polling until the next failure.
 */
final class EndpointListRefresh {
    /**
     * Mean delay after the first failed call; doubles with each further failure, up to a quarter of the poll interval.
     */
    private static final long INITIAL_BACKOFF_US = 250_000;

    private final BalancerState state;
    private final SplittableRandom random;
    private final BalancerActions actions;
    private long nextPollAtUs = Long.MAX_VALUE;
    private long backoffUs = INITIAL_BACKOFF_US;

    EndpointListRefresh(BalancerState state, SplittableRandom random, BalancerActions actions) {
        this.state = state;
        this.random = random;
        this.actions = actions;
    }

    void onList(ListKind kind, long nowUs) {
        if (kind != ListKind.CACHED) {
            nextPollAtUs = Long.MAX_VALUE;
            backoffUs = INITIAL_BACKOFF_US;
        } else if (state.settings.pollsEndpointList) {
            poll(nowUs);
        }
    }

    /** Must be called only where the list is polled. */
    void onListFailed(long nowUs) {
        nextPollAtUs = nowUs + backoffUs / 2 + random.nextLong(backoffUs);
        backoffUs = Math.min(2 * backoffUs, Math.max(1, state.settings.pollIntervalUs / 4));
    }

    void onWake(long nowUs) {
        if (nowUs >= nextPollAtUs) {
            poll(nowUs);
        }
    }

    /** When {@link #onWake} must be called next; Long.MAX_VALUE for never. */
    long nextPollAtUs() {
        return nextPollAtUs;
    }

    private void poll(long nowUs) {
        actions.subscribe();
        nextPollAtUs = nowUs + Math.max(1, state.settings.pollIntervalUs / 2);
    }
}
