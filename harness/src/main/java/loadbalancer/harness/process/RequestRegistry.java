package loadbalancer.harness.process;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.harness.simulation.AppServer;
import loadbalancer.harness.simulation.BaseNode;
import loadbalancer.harness.simulation.NodePort.ClientRequest;
import loadbalancer.harness.simulation.World;
import loadbalancer.policy.AttemptResult;

/**
 * The open requests of all clients, by transaction id, so that a fake app server knows what an attempt is about.
 *
 * <p>Used on the loop of the run only.
 */
final class RequestRegistry {
    private final World world;
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

    /** One attempt of a node. */
    record Attempt(String txn, int number, ClientRequest request, BaseNode node) {}

    RequestRegistry(World world) {
        this.world = world;
    }

    static String txn(long id) {
        return String.format("%016x", id);
    }

    /** A client has begun to send this to the node. */
    void add(ClientRequest request, BaseNode node) {
        requests.put(txn(request.id()), new OpenRequest(request, node));
    }

    /** Long after its end no attempt of it can come any more. */
    void forget(long id) {
        requests.remove(txn(id));
    }

    /** An attempt has come to an app server; null if no client has sent such a request. */
    Attempt onAttempt(String txn, AppServer server) {
        OpenRequest open = txn == null ? null : requests.get(txn);
        if (open == null) {
            return null;
        }
        boolean crossesZones = server.zone() != open.node.zone();
        Attempt attempt = new Attempt(txn, open.attempts++, open.request, open.node);
        world.score().onAttempt(crossesZones);
        open.node.history().attempt(open.request.id(), attempt.number(), server.id(), crossesZones);
        return attempt;
    }

    /** How it ended, as the server sees it. */
    void onOutcome(Attempt attempt, AppServer server, AttemptResult result) {
        attempt.node().history().outcome(attempt.request().id(), attempt.number(), server.id(), result);
    }
}
