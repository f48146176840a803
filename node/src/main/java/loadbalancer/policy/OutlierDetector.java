package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Ejects servers that fail. A server with {@link #MIN_FAILURES} failures among its last {@link
 * ServerHealth#HISTORY_LENGTH} outcomes, of all classes or of one, is ejected for all classes or for that one. Of these
 * classes it then receives only single trial requests, at longer intervals after each further failure, and fallback
 * requests if no other server is found (see {@link TrialRequests}). The ejection ends after several successes in a row.
 * Each class is also judged on its own, because successes of one class would hide failures of another.
 *
 * <p>A server is ejected only if at most half of the servers in use are ejected with it: when most servers fail, the
 * cause is elsewhere. Ejections for all classes and those for each class are counted separately, so for one class more
 * than half of the servers may be unusable. The share may also exceed half when servers are removed from the list,
 * because that ends no ejection.
 *
 * <p>Trade-off: a server whose failures are random receives no ordinary requests while it is ejected.
 */
final class OutlierDetector {
    /** Failures among the last outcomes at which a server is ejected. */
    private static final int MIN_FAILURES = 4;
    /**
     * Successes in a row that end an ejection: one success may be random, three are very unlikely to be. Any success at
     * the server counts, also one of a fallback request or of an attempt that was in flight at the ejection.
     */
    private static final int SUCCESSES_TO_RESTORE = 3;
    /** Mean time from an ejection until the first trial request is due. */
    private static final long BASE_TRIAL_INTERVAL_US = 250_000;
    /**
     * Upper bound of the mean time between trial requests, which doubles with each further failure of any attempt at
     * the server, except failures that only indicate load.
     */
    private static final long MAX_TRIAL_INTERVAL_US = 4_000_000;

    /** The effect of a success on an ejection. */
    enum Recovery {
        /** The server was not ejected, or remains ejected. */
        NONE,
        /** The server is no longer ejected for the class. */
        CLASS,
        /** The server is no longer ejected, for any class. */
        SERVER
    }

    private final BalancerState state;
    private final SplittableRandom random;
    private final BalancerActions actions;
    /** The servers in use that are ejected for all classes or for one, in list order. */
    private final List<ServerRecord> ejected = new ArrayList<>();

    OutlierDetector(BalancerState state, SplittableRandom random, BalancerActions actions) {
        this.state = state;
        this.random = random;
        this.actions = actions;
    }

    /** Returns a live view of the servers in use that are ejected for all classes or for one. */
    List<ServerRecord> ejectedServers() {
        return ejected;
    }

    /**
     * Records a failed attempt.
     *
     * @param serverFault whether the failure indicates a fault of the server, not load
     */
    void onFailure(ServerRecord server, ServerHealth classHealth, boolean serverFault, long nowUs) {
        server.lastOutcomeWasResponse = false;
        if (serverFault) {
            recordFailure(server, server.health, classHealth, nowUs);
            recordFailure(server, classHealth, classHealth, nowUs);
        }
    }

    private void recordFailure(ServerRecord server, ServerHealth health, ServerHealth classHealth, long nowUs) {
        health.history = health.history << 1 | 1;
        health.trialsSucceeded = 0;
        if (health.ejected || isOutlier(server, health, classHealth)) {
            eject(server, health, nowUs);
        }
    }

    /** A server that fails one class and serves the others is an outlier for that class only. */
    private static boolean isOutlier(ServerRecord server, ServerHealth health, ServerHealth classHealth) {
        if (health.recentFailures() < MIN_FAILURES) {
            return false;
        }
        boolean isClassHealth = health == classHealth;
        return isClassHealth || !servesOtherClasses(server, classHealth);
    }

    /**
     * Whether another class has had a success since the last one of this class, and no failure among its last outcomes.
     */
    private static boolean servesOtherClasses(ServerRecord server, ServerHealth classHealth) {
        for (int classIndex = 0; classIndex < server.classHealth.size(); classIndex++) {
            ServerHealth other = server.classHealth.get(classIndex);
            if (other.lastSuccessAtUs > classHealth.lastSuccessAtUs && other.recentFailures() == 0) {
                return true;
            }
        }
        return false;
    }

    /** Ejects a server, or doubles the trial interval of one that is already ejected. */
    private void eject(ServerRecord server, ServerHealth health, long nowUs) {
        if (!health.ejected) {
            int classIndex = server.classHealth.indexOf(health);
            if (!mayEjectOneMore(classIndex)) {
                return;
            }
            health.ejected = true;
            health.trialIntervalUs = BASE_TRIAL_INTERVAL_US / 2;
            actions.ejected(server.id, health.recentFailures(), className(classIndex));
        }
        health.trialIntervalUs = Math.min(MAX_TRIAL_INTERVAL_US, 2 * health.trialIntervalUs);
        // Jitter: nodes that ejected a server at the same time must not send trial requests at the same time.
        health.trialAtUs = nowUs + health.trialIntervalUs / 2 + random.nextLong(health.trialIntervalUs);
        refresh();
    }

    /**
     * Whether at most half of the servers in use are ejected for this class after one more ejection; -1 means for all
     * classes.
     */
    private boolean mayEjectOneMore(int classIndex) {
        return 2 * (countEjectedFor(classIndex) + 1) <= state.servers.length;
    }

    /** Number of servers that are ejected for this class; -1 means all classes. */
    private int countEjectedFor(int classIndex) {
        int count = 0;
        for (ServerRecord server : ejected) {
            ServerHealth health = classIndex < 0 ? server.health : server.classHealth.get(classIndex);
            count += health.ejected ? 1 : 0;
        }
        return count;
    }

    private String className(int classIndex) {
        return classIndex < 0 ? null : state.settings.classes.get(classIndex).name();
    }

    /**
     * Records a successful attempt. If it ends an ejection, the caller must call {@link #refresh}, and must reset the
     * server if the ejection was for all classes.
     */
    Recovery onSuccess(ServerRecord server, ServerHealth classHealth, long nowUs) {
        if (recordSuccess(server.health, nowUs)) {
            actions.restored(server.id, null);
            restoreAll(server);
            return Recovery.SERVER;
        }
        if (recordSuccess(classHealth, nowUs)) {
            actions.restored(server.id, className(server.classHealth.indexOf(classHealth)));
            restore(classHealth);
            return Recovery.CLASS;
        }
        return Recovery.NONE;
    }

    /** Records a success; returns true if it ends the ejection. */
    private static boolean recordSuccess(ServerHealth health, long nowUs) {
        health.history <<= 1;
        health.lastSuccessAtUs = nowUs;
        health.trialAtUs = nowUs;
        return health.ejected && ++health.trialsSucceeded >= SUCCESSES_TO_RESTORE;
    }

    /** Clears the history of a server whose process has been replaced and ends its ejections. */
    void onRestarted(ServerRecord server) {
        server.health.history = 0;
        for (int classIndex = 0; classIndex < server.classHealth.size(); classIndex++) {
            server.classHealth.get(classIndex).history = 0;
        }
        restoreAll(server);
    }

    private static void restoreAll(ServerRecord server) {
        restore(server.health);
        for (int classIndex = 0; classIndex < server.classHealth.size(); classIndex++) {
            restore(server.classHealth.get(classIndex));
        }
    }

    /**
     * Ends an ejection. The history is kept: the server is ejected again by the next failure, while enough older
     * failures remain among its last outcomes.
     */
    private static void restore(ServerHealth health) {
        health.ejected = false;
        health.trialsSucceeded = 0;
    }

    /**
     * Rebuilds the list of ejected servers and the sums over the others, after an ejection or a change of the servers
     * in use.
     */
    void refresh() {
        state.recomputeSums();
        ejected.clear();
        for (ServerRecord server : state.servers) {
            if (server.health.ejected || isEjectedForAnyClass(server)) {
                ejected.add(server);
            }
        }
    }

    private static boolean isEjectedForAnyClass(ServerRecord server) {
        for (int classIndex = 0; classIndex < server.classHealth.size(); classIndex++) {
            if (server.classHealth.get(classIndex).ejected) {
                return true;
            }
        }
        return false;
    }
}
