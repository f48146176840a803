package loadbalancer.request;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import loadbalancer.common.Log;
import loadbalancer.policy.Balancer;

/**
 * The queue of events to the balancer. Events are delivered one after the other: what happens inside one is delivered
 * once that one is over, so the balancer is never re-entered.
 *
 * <p>An exception of the balancer is logged and ends neither the node nor the queue. Runs on the event loop.
 */
public final class PolicyEventQueue {
    /** What an event is about, where a response is owed to it. */
    public interface FailureHandler {
        /** The balancer has thrown an exception on an event about this. */
        void onBalancerFailure();
    }

    private record Event(FailureHandler failureHandler, Consumer<Balancer> delivery) {}

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private Balancer balancer;
    private boolean delivering;

    /** Sets who gets the events; once, before the first one. */
    public void setBalancer(Balancer receiver) {
        balancer = receiver;
    }

    /** Delivers an event now, or once the event is over that is being delivered. */
    public void submit(Consumer<Balancer> delivery) {
        submit(null, delivery);
    }

    /** Delivers an event about a request, which is to have its response even if the balancer fails on the event. */
    public void submit(FailureHandler failureHandler, Consumer<Balancer> delivery) {
        events.add(new Event(failureHandler, delivery));
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            Event event;
            while ((event = events.poll()) != null) {
                deliver(event);
            }
        } finally {
            delivering = false;
        }
    }

    private void deliver(Event event) {
        try {
            event.delivery.accept(balancer);
        } catch (RuntimeException e) {
            // A programming error that one request meets must neither end the node nor leave it without a response.
            Log.error("balancer_error", e);
            if (event.failureHandler != null) {
                event.failureHandler.onBalancerFailure();
            }
        }
    }

    /** How many servers the balancer excludes now, for the metrics. */
    public int excludedServers() {
        return balancer.excludedServers();
    }
}
