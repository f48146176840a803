package loadbalancer.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order of events to the balancer and the handling of its failures. */
class PolicyEventQueueTest {
    private final PolicyEventQueue queue = new PolicyEventQueue();
    private final List<String> delivered = new ArrayList<>();

    /**
     * An action of the balancer causes another event while an event is being delivered. Immediate delivery would
     * re-enter the balancer, so the event must be delivered after the first one has returned.
     */
    @Test
    void nestedEventsAreDeliveredInSequence() {
        queue.submit(balancer -> {
            delivered.add("first begins");
            queue.submit(nested -> delivered.add("second"));
            queue.submit(nested -> delivered.add("third"));
            delivered.add("first ends");
        });
        assertEquals(List.of("first begins", "first ends", "second", "third"), delivered);
    }

    /**
     * The balancer throws an exception on an event about a request. The failure handler of the request must be called,
     * so that its client gets a response, and later events must still be delivered.
     */
    @Test
    void balancerFailureIsPassedToFailureHandler() {
        queue.submit(() -> delivered.add("failure handled"), balancer -> {
            queue.submit(nested -> delivered.add("next"));
            throw new IllegalStateException("thrown by the test");
        });
        assertEquals(List.of("failure handled", "next"), delivered);
        queue.submit(balancer -> delivered.add("later"));
        assertEquals(List.of("failure handled", "next", "later"), delivered);
    }
}
