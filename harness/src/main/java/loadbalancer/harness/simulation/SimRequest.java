package loadbalancer.harness.simulation;

import java.util.ArrayList;
import java.util.List;

/** A request at a simulated node, from its arrival until its last attempt has ended. */
final class SimRequest {
    final NodePort.ClientRequest request;
    final NodePort.ResponseListener listener;
    final long deadlineUs;
    final List<SimAttempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    /** Whether its client has its response, or has gone. */
    boolean ended;

    SimRequest(NodePort.ClientRequest request, NodePort.ResponseListener listener, long deadlineUs) {
        this.request = request;
        this.listener = listener;
        this.deadlineUs = deadlineUs;
    }

    long id() {
        return request.id();
    }

    /** Whether nothing is owed to it any more. */
    boolean isOver() {
        return ended && attemptsInFlight == 0;
    }
}
