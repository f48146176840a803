package loadbalancer.request;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import loadbalancer.common.Log;
import loadbalancer.policy.Balancer;

/**
 * What the module is told, one event after the other: nothing is fed back into it from inside one of its
 * events.
 */
public final class PolicyEventQueue {
    /** What an event is about, where something is owed to it. */
    public interface FailureHandler {
        /** The module has failed on an event about it. */
        void onBalancerFailure();
    }

    private record Event(FailureHandler about, Consumer<Balancer> call) {}

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private Balancer module;
    private boolean delivering;

    /** Whom to tell; once, before the first event. */
    public void setBalancer(Balancer balancer) {
        module = balancer;
    }

    /** Tells it now, or once the event is over in which the module is. */
    public void submit(Consumer<Balancer> call) {
        submit(null, call);
    }

    /** The same for an event about a request, which is to have its answer even if the module fails on it. */
    public void submit(FailureHandler about, Consumer<Balancer> call) {
        events.add(new Event(about, call));
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
            event.call.accept(module);
        } catch (RuntimeException e) {
            // A defect met by one request must neither end the node nor leave it without an answer.
            Log.error("balancer_error", e);
            if (event.about != null) {
                event.about.onBalancerFailure();
            }
        }
    }

    /** A figure of the module's, for operators. */
    public int excludedServers() {
        return module.excludedServers();
    }
}
