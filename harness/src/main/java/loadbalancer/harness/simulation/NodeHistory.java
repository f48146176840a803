package loadbalancer.harness.simulation;

import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.history.History;
import loadbalancer.policy.AttemptResult;

/**
 * Writes what one node does to the history of the run: a method for each event, which gives the event's fields their
 * names. The names are those of stored histories and stay as they are.
 */
public final class NodeHistory {
    private final String node;
    private final History history;

    /** Events of the node with this name. */
    public NodeHistory(String node, History history) {
        this.node = node;
        this.history = history;
    }

    /** Its process is started. */
    public void started() {
        history.add(node, Kind.STARTED);
    }

    /** It is asked to shut down. */
    public void terminating() {
        history.add(node, Kind.ENDING);
    }

    /** Its simulated process has ended. */
    public void killed() {
        history.add(node, Kind.KILLED);
    }

    /** Its real process has ended. */
    public void exited(boolean crashed, int exitCode) {
        history.add(node, Kind.KILLED, "crash", crashed, "code", exitCode);
    }

    /** It has taken a request. */
    public void request(long requestId, String className, long remainingUs) {
        history.add(node, Kind.ASK, "request", requestId, "class", className, "left", remainingUs);
    }

    /** It has sent a response. */
    public void response(long requestId, String answer) {
        history.add(node, Kind.ANSWER, "request", requestId, "answer", answer);
    }

    /** The client of a request has disconnected. */
    public void clientGone(long requestId) {
        history.add(node, Kind.LEFT, "request", requestId);
    }

    /** Operators have cordoned a server at it, or have ended the cordon. */
    public void setCordoned(String serverId, boolean cordoned) {
        history.add(node, cordoned ? Kind.CORDON : Kind.UNCORDON, "server", serverId);
    }

    /** It has sent an attempt to a server. */
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
