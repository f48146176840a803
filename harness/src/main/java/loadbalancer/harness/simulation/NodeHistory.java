package loadbalancer.harness.simulation;

import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.history.History;
import loadbalancer.policy.AttemptResult;

/**
 * Writes the events of one node to the history of the run, with one method for each event. Stored histories contain the
 * names of events and fields, so these names must not change.
 */
public final class NodeHistory {
    private final String node;
    private final History history;

    /** Creates a writer for the events of the node with this name. */
    public NodeHistory(String node, History history) {
        this.node = node;
        this.history = history;
    }

    /** The node is being started. */
    public void started() {
        history.add(node, Kind.STARTED);
    }

    /** The node was sent SIGTERM. */
    public void terminating() {
        history.add(node, Kind.ENDING);
    }

    /** The simulated process of the node has ended. */
    public void killed() {
        history.add(node, Kind.KILLED);
    }

    /** The operating-system process of the node has ended. */
    public void exited(boolean crashed, int exitCode) {
        history.add(node, Kind.KILLED, "crash", crashed, "code", exitCode);
    }

    /** The node has received a request. */
    public void request(long requestId, String className, long remainingUs) {
        history.add(node, Kind.ASK, "request", requestId, "class", className, "left", remainingUs);
    }

    /** The node has sent a response. */
    public void response(long requestId, String result) {
        history.add(node, Kind.ANSWER, "request", requestId, "answer", result);
    }

    /** The client of a request has disconnected. */
    public void clientGone(long requestId) {
        history.add(node, Kind.LEFT, "request", requestId);
    }

    /** Operators have cordoned a server at the node, or have ended the cordon. */
    public void setCordoned(String serverId, boolean cordoned) {
        history.add(node, cordoned ? Kind.CORDON : Kind.UNCORDON, "server", serverId);
    }

    /** The node has sent an attempt to a server. */
    public void attempt(long requestId, int attempt, String serverId, boolean crossesZones) {
        history.add(
                node, Kind.SEND, "request", requestId, "attempt", attempt, "server", serverId, "crosses", crossesZones);
    }

    /** An attempt has ended. */
    public void outcome(long requestId, int attempt, String serverId, AttemptResult result) {
        history.add(
                node,
                Kind.OUTCOME,
                "request",
                requestId,
                "attempt",
                attempt,
                "server",
                serverId,
                "result",
                result.name());
    }
}
