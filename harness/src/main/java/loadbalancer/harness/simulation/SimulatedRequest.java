package loadbalancer.harness.simulation;

import java.util.ArrayList;
import java.util.List;

/** A request at a simulated node, from its arrival until its last attempt ends. */
final class SimulatedRequest {
    final FleetNode.ClientRequest request;
    final FleetNode.ResponseListener listener;
    final long deadlineUs;
    final List<SimulatedAttempt> attempts = new ArrayList<>(1);
    int attemptsInFlight;
    /** Whether the client has received its response or has disconnected. */
    boolean ended;

    SimulatedRequest(FleetNode.ClientRequest request, FleetNode.ResponseListener listener, long deadlineUs) {
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
