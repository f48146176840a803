package loadbalancer.process;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.request.RequestServices;

/**
 * The timer that the balancer sets with {@link loadbalancer.policy.BalancerActions#wakeAt}. At most one wake-up is
 * pending: a later call replaces an earlier one.
 *
 * <p>A timer of the event loop may fire before its time by the node's clock. The balancer would then find nothing due
 * and set the same time again, repeatedly. A timer that fires early is therefore set again for the remaining time.
 *
 * <p>All methods run on the event loop.
 */
final class WakeTimer {
    private final RequestServices services;
    private Future<?> pending;
    private long wakeAtUs;

    WakeTimer(RequestServices services) {
        this.services = services;
    }

    /** Wakes the balancer at this time; replaces a time that was set before. */
    void schedule(long atUs) {
        cancel();
        wakeAtUs = atUs;
        scheduleRemaining();
    }

    /** Cancels the pending wake-up, if there is one. */
    void cancel() {
        if (pending != null) {
            pending.cancel(false);
        }
    }

    private void scheduleRemaining() {
        long remainingUs = Math.max(0, wakeAtUs - services.clock().nowUs());
        pending = services.loop().schedule(this::fire, remainingUs, TimeUnit.MICROSECONDS);
    }

    private void fire() {
        if (services.clock().nowUs() < wakeAtUs) {
            scheduleRemaining();
            return;
        }
        pending = null;
        services.events().submit(balancer -> balancer.onWake(services.clock().nowUs()));
    }
}
