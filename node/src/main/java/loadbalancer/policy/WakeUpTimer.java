package loadbalancer.policy;

/** The one timer of a balancer: asks for an earlier wake-up when one is needed. Single-threaded. */
final class WakeUpTimer {
    /** A wake-up that comes this much too late shows that the node itself was paused. */
    private static final long PAUSE_THRESHOLD_US = 50_000;

    private static final long NONE = Long.MAX_VALUE;

    private final BalancerActions actions;
    private long pendingAtUs = NONE;

    WakeUpTimer(BalancerActions actions) {
        this.actions = actions;
    }

    /** Makes sure that a wake-up comes at this time or before. */
    void schedule(long atUs, long nowUs) {
        if (atUs < pendingAtUs) {
            pendingAtUs = Math.max(atUs, nowUs + 1);
            actions.wakeAt(pendingAtUs);
        }
    }

    /** Takes a wake-up; true if it comes so late that the node must have been paused. */
    boolean onWake(long nowUs) {
        boolean paused = pendingAtUs != NONE && nowUs > pendingAtUs + PAUSE_THRESHOLD_US;
        if (nowUs >= pendingAtUs) {
            pendingAtUs = NONE;
        }
        return paused;
    }
}
