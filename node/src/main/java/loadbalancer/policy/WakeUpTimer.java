package loadbalancer.policy;

/** The single timer of a balancer. Requests a wake-up only if it is earlier than the pending one. */
final class WakeUpTimer {
    /** Delay of a wake-up beyond which the node itself must have been paused. */
    private static final long PAUSE_THRESHOLD_US = 50_000;

    private static final long NONE = Long.MAX_VALUE;

    private final BalancerActions actions;
    private long pendingAtUs = NONE;

    WakeUpTimer(BalancerActions actions) {
        this.actions = actions;
    }

    /** Ensures that a wake-up comes at this time or earlier. */
    void schedule(long atUs, long nowUs) {
        if (atUs < pendingAtUs) {
            pendingAtUs = Math.max(atUs, nowUs + 1);
            actions.wakeAt(pendingAtUs);
        }
    }

    /** Handles a wake-up; returns true if it is so late that the node must have been paused. */
    boolean onWake(long nowUs) {
        boolean paused = pendingAtUs != NONE && nowUs > pendingAtUs + PAUSE_THRESHOLD_US;
        if (nowUs >= pendingAtUs) {
            pendingAtUs = NONE;
        }
        return paused;
    }
}
