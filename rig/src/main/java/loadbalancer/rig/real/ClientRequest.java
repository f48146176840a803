package loadbalancer.rig.real;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.AttemptResult;
import loadbalancer.rig.history.Event.Kind;
import loadbalancer.rig.history.History;
import loadbalancer.rig.world.AppServer;
import loadbalancer.rig.world.NodePort;
import loadbalancer.rig.world.NodePort.Try;
import loadbalancer.rig.world.World;

/** What clients have asked, so that app servers know what an attempt is about; on the loop. */
final class ClientRequest {
    private final World world;
    private final History history;
    private final Map<String, Request> requests = new HashMap<>();

    private static final class Request {
        private final Try asked;
        private final NodePort node;
        private int attempts;

        Request(Try asked, NodePort node) {
            this.asked = asked;
            this.node = node;
        }
    }

    /** One attempt of a node. */
    record Attempt(String txn, long request, int number, Try asked, NodePort node) {}

    ClientRequest(World world, History history) {
        this.world = world;
        this.history = history;
    }

    static String txn(long id) {
        return String.format("%016x", id);
    }

    /** A client has begun to ask this node. */
    void add(Try asked, NodePort node) {
        requests.put(txn(asked.id()), new Request(asked, node));
    }

    /** Long after its end no attempt of it can come any more. */
    void forget(long id) {
        requests.remove(txn(id));
    }

    /** An attempt has come to an app server; null if no client asked what it is about. */
    Attempt sentOn(String txn, AppServer server) {
        Request of = txn == null ? null : requests.get(txn);
        if (of == null) {
            return null;
        }
        boolean crosses = server.zone() != of.node.zone();
        Attempt sent = new Attempt(txn, of.asked.id(), of.attempts++, of.asked, of.node);
        world.score().sent(crosses);
        history.add(
                of.node.name(),
                Kind.SEND,
                "request",
                sent.request(),
                "attempt",
                sent.number(),
                "server",
                server.id(),
                "crosses",
                crosses);
        return sent;
    }

    /** How it ended, as the server sees it. */
    void ended(Attempt attempt, AppServer server, AttemptResult result) {
        history.add(
                attempt.node().name(),
                Kind.OUTCOME,
                "request",
                attempt.request(),
                "attempt",
                attempt.number(),
                "server",
                server.id(),
                "result",
                result.name());
    }
}
