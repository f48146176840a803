package loadbalancer.request;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import loadbalancer.common.Log;
import loadbalancer.policy.Balancer;

/**
 * The queue of events to the balancer. An event that is submitted while another one is being delivered is delivered
 * after that one has returned, so the balancer is never re-entered.
 *
 * <p>A {@link RuntimeException} of the balancer is logged, and the delivery of further events continues. All methods
 * are called on the event loop.
 */
public final class PolicyEventQueue {
    /** Handles a failure of the balancer on an event about a request. */
    public interface FailureHandler {
        /** The balancer has thrown an exception on an event about this request. */
        void onBalancerFailure();
    }

    private record Event(FailureHandler failureHandler, Consumer<Balancer> delivery) {}

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private Balancer balancer;
    private boolean delivering;

    /** Sets the balancer that receives the events; to be called once, before the first event. */
    public void setBalancer(Balancer receiver) {
        balancer = receiver;
    }

    /** Delivers an event immediately or, if another one is being delivered, after that. */
    public void submit(Consumer<Balancer> delivery) {
        submit(null, delivery);
    }

    /**
     * Delivers an event about a request, immediately or, if another one is being delivered, after that.
     *
     * @param failureHandler called if the balancer fails on the event; may be null
     */
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
        } catch (RuntimeException | Error e) {
            // A programming error must neither stop the node nor leave the request without a response.
            Log.error("balancer_error", e);
            if (event.failureHandler != null) {
                event.failureHandler.onBalancerFailure();
            }
        }
    }

    /** Returns the number of servers that the balancer currently excludes, for the metrics. */
    public int excludedServers() {
        return balancer.excludedServers();
    }
}
