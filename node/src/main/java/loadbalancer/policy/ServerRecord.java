package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * What this node knows of one server. Plain state without rules: each group of fields is written by the class that
 * its comment names.
 */
final class ServerRecord {
    final String id;
    /** A pseudo-random number drawn from the id, the same at every node. */
    final long hash;

    // Written by ServerRegistry, from the endpoint list.
    int zone;
    int cell;
    ServerState state;
    /** When its process started; 0 means long ago. */
    long startedAtUs;

    // Written by ServersInUse.
    /** Whether this node sends to it. */
    boolean inUse;
    /** Its index among the servers in use. */
    int position;
    /** This node's own attempts that are in flight there. */
    int inFlight;

    // Written by ErrorCounter.
    int errors;

    // Written by OutlierDetector, and as answers come by OutcomeRecorder.
    /** What all its answers show, and those of each class: it may fail one class and serve the others. */
    final ServerHealth health = new ServerHealth();

    final PerClass<ServerHealth> classHealth = new PerClass<>(ServerHealth::new);
    /** Whether its last attempt had an answer of any kind. */
    boolean lastAttemptAnswered;

    // Written by ConcurrencyLimiter.
    /** How many attempts this node may have in flight there; may be under one. */
    double limit;
    /** When a draw last met the limit. */
    long limitReachedAtUs;

    long limitCutAtUs;
    /** A limit under one: the pause after the last attempt, and its end. */
    long pauseUs;

    long pausedUntilUs;

    // Written by SlowStart.
    /** From when the gap to its next request counts while it warms up; 0 if none is set for this start. */
    long warmUpSlotAtUs;

    // Written by LoadReports.
    /** Requests that it reported to have in flight for all nodes. */
    double reportedLoad;

    long reportedAtUs;
    /** How long the answer with the report took. */
    double reportLatencyUs = 1;

    ServerRecord(String id) {
        this.id = id;
        hash = new SplittableRandom(id.hashCode()).nextLong();
    }
}
