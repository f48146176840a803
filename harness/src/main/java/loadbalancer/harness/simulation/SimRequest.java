package loadbalancer.harness.simulation;

import java.util.ArrayList;
import java.util.List;

/** A request at a simulated node, from its arrival until its last attempt ends. */
final class SimRequest {
    final NodePort.ClientRequest request;
    final NodePort.ResponseListener listener;
    final long deadlineUs;
    final List<SimAttempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    /** Whether the client has received its response or has disconnected. */
    boolean ended;

    SimRequest(NodePort.ClientRequest request, NodePort.ResponseListener listener, long deadlineUs) {
        this.request = request;
        this.listener = listener;
        this.deadlineUs = deadlineUs;
    }

    long id() {
        return request.id();
    }

    /** Whether the request has ended and has no attempt in flight. */
    boolean isFinished() {
        return ended && attemptsInFlight == 0;
    }
}
