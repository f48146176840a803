package loadbalancer.process;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.request.RequestServices;

/**
 * The timer that the balancer asks for with {@link loadbalancer.policy.BalancerActions#wakeAt}. At most one wake-up
 * is pending: a later call takes the place of an earlier one.
 *
 * <p>Guards against wake-ups that come before their time by the node's clock, if a timer of the loop fires early: the
 * balancer would find nothing due and ask for the same time again, over and over. An early timer is set again for the
 * time that is left.
 *
 * <p>Used on the event loop only.
 */
final class WakeTimer {
    private final RequestServices services;
    private Future<?> pending;
    private long wakeAtUs;

    WakeTimer(RequestServices services) {
        this.services = services;
    }

    /** Wakes the balancer at this time, and no longer at the one that was set before. */
    void schedule(long atUs) {
        cancel();
        wakeAtUs = atUs;
        scheduleRemaining();
    }

    /** Wakes the balancer no more, unless it is scheduled again. */
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
