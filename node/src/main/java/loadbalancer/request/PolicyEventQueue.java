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
    public interface Owed {
        /** The module has failed on an event about it. */
        void defect();
    }

    private record Event(Owed about, Consumer<Balancer> call) {}

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private Balancer module;
    private boolean telling;

    /** Whom to tell; once, before the first event. */
    public void decidedBy(Balancer balancer) {
        module = balancer;
    }

    /** Tells it now, or once the event is over in which the module is. */
    public void tell(Consumer<Balancer> call) {
        tell(null, call);
    }

    /** The same for an event about a request, which is to have its answer even if the module fails on it. */
    public void tell(Owed about, Consumer<Balancer> call) {
        events.add(new Event(about, call));
        if (telling) {
            return;
        }
        telling = true;
        try {
            Event event;
            while ((event = events.poll()) != null) {
                tellOne(event);
            }
        } finally {
            telling = false;
        }
    }

    private void tellOne(Event event) {
        try {
            event.call.accept(module);
        } catch (RuntimeException e) {
            // A defect met by one request must neither end the node nor leave it without an answer.
            Log.error("balancer_error", e);
            if (event.about != null) {
                event.about.defect();
            }
        }
    }

    /** A figure of the module's, for operators. */
    public int excludedServers() {
        return module.excludedServers();
    }
}
