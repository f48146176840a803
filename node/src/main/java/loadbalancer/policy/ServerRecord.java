package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * The state that this node keeps of one server. Contains no rules: a comment above each group of fields names the class
 * that writes them.
 */
final class ServerRecord {
    final String id;
    /** A pseudo-random number derived from the id, the same at every node. */
    final long hash;

    // Written by ServerRegistry, from the endpoint list.
    int zone;
    int cell;
    ServerState state;
    /** When its process started, in microseconds; 0 means long ago. */
    long startedAtUs;

    // Written by ServersInUse.
    /** Whether this node sends requests to it. */
    boolean inUse;
    /** Its index among the servers in use. */
    int position;
    /** This node's own attempts in flight at the server, except those that their request is bound to. */
    int inFlight;

    // Written by ErrorCounter.
    int errors;

    // Written by OutlierDetector, and by OutcomeRecorder when responses arrive.
    /** Health over all classes. */
    final ServerHealth health = new ServerHealth();

    /** Health per class: a server may fail one class and serve the others. */
    final PerClass<ServerHealth> classHealth = new PerClass<>(ServerHealth::new);
    /** Whether its last outcome was a response, which may be an error. A rejection as full is none. */
    boolean lastOutcomeWasResponse;

    // Written by ConcurrencyLimiter.
    /** Maximum of this node's attempts in flight at the server; may be below one, and is 0 until first assigned. */
    double limit;
    /** When an attempt at this server was last held back by its limit or by the sum of all limits. */
    long limitReachedAtUs;

    /** When its limit was last cut. */
    long limitDecreasedAtUs;
    /** With a limit below one: the length of the pause that the last outcome added. */
    long pauseUs;

    /** The end of the pauses, which add up. */
    long pausedUntilUs;

    // Written by SlowStart.
    /**
     * Start of the interval after which the next request may be sent while the server warms up; 0 if not set since its
     * start.
     */
    long warmUpSlotAtUs;

    // Written by LoadReports.
    /** Requests of all nodes that the server reported to have in flight. */
    double reportedLoad;

    /** When it reported them; 0 if it has not, or if the report was discarded. */
    long reportedAtUs;
    /** Latency of the response that carried the report. */
    double reportLatencyUs = 1;

    ServerRecord(String id) {
        this.id = id;
        hash = new SplittableRandom(id.hashCode()).nextLong();
    }
}
