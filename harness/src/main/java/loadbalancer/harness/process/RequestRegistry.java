package loadbalancer.harness.process;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.BaseNode;
import loadbalancer.harness.simulation.NodePort.ClientRequest;
import loadbalancer.harness.simulation.Testbed;
import loadbalancer.policy.AttemptResult;

/**
 * The open requests of all clients by transaction id, by which a fake app server finds the request of an attempt.
 *
 * <p>Used on the event loop of the run only.
 */
final class RequestRegistry {
    private final Testbed testbed;
    private final Map<String, OpenRequest> requests = new HashMap<>();

    private static final class OpenRequest {
        private final ClientRequest request;
        private final BaseNode node;
        private int attempts;

        OpenRequest(ClientRequest request, BaseNode node) {
            this.request = request;
            this.node = node;
        }
    }

    /** One attempt of a node at a request. */
    record Attempt(String txn, int number, ClientRequest request, BaseNode node) {}

    RequestRegistry(Testbed testbed) {
        this.testbed = testbed;
    }

    static String txn(long id) {
        return String.format("%016x", id);
    }

    /** Adds a request that a client sends to this node. */
    void add(ClientRequest request, BaseNode node) {
        requests.put(txn(request.id()), new OpenRequest(request, node));
    }

    /** Removes a request. Called long after its end, when no attempt of it can arrive any more. */
    void remove(long id) {
        requests.remove(txn(id));
    }

    /** Records an attempt that has arrived at an app server; returns null if no client has sent such a request. */
    Attempt onAttempt(String txn, AppServer server) {
        OpenRequest open = txn == null ? null : requests.get(txn);
        if (open == null) {
            return null;
        }
        boolean crossesZones = server.zone() != open.node.zone();
        Attempt attempt = new Attempt(txn, open.attempts++, open.request, open.node);
        testbed.score().onAttempt(crossesZones);
        open.node.history().attempt(open.request.id(), attempt.number(), server.id(), crossesZones);
        return attempt;
    }

    /** Records the result of an attempt as the server observes it. */
    void onOutcome(Attempt attempt, AppServer server, AttemptResult result) {
        attempt.node().history().outcome(attempt.request().id(), attempt.number(), server.id(), result);
    }
}
