package loadbalancer.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of events to the balancer, and what happens when it fails on one. */
class PolicyEventQueueTest {
    private final PolicyEventQueue queue = new PolicyEventQueue();
    private final List<String> delivered = new ArrayList<>();

    /**
     * The balancer asks for something while it handles an event, and that causes another event at once. Delivered on
     * the spot it would re-enter the balancer; it comes after the first one is over.
     */
    @Test
    void deliversNestedEventsOneAfterTheOther() {
        queue.submit(balancer -> {
            delivered.add("first begins");
            queue.submit(nested -> delivered.add("second"));
            queue.submit(nested -> delivered.add("third"));
            delivered.add("first ends");
        });
        assertEquals(List.of("first begins", "first ends", "second", "third"), delivered);
    }

    /**
     * The balancer throws an exception on an event about a request. The request is told, so that it gets its response,
     * and the events behind it are delivered all the same.
     */
    @Test
    void tellsTheRequestOnWhoseEventTheBalancerFails() {
        queue.submit(() -> delivered.add("failure handled"), balancer -> {
            queue.submit(nested -> delivered.add("next"));
            throw new IllegalStateException("planted");
        });
        assertEquals(List.of("failure handled", "next"), delivered);
        queue.submit(balancer -> delivered.add("later"));
        assertEquals(List.of("failure handled", "next", "later"), delivered);
    }
}
