package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Ejection of servers that fail. A server that failed {@link #MIN_FAILURES} of its last
 * {@link ServerHealth#HISTORY_LENGTH} answers, of all classes or of one, is ejected for these: it gets nothing but
 * single trial requests (see {@link TrialRequests}), further apart each time one fails, until several in a row
 * succeed. Classes are looked at by themselves, since a class that a server serves would hide one that it fails.
 *
 * <p>Never more than half of the servers are ejected: when most fail, the fault is not theirs. Harm: a server that
 * fails by chance is without requests for a time. Single-threaded; no I/O.
 */
final class OutlierDetector {
    /** Failures among the last answers from which on a server is ejected. */
    private static final int MIN_FAILURES = 4;
    /** Successful trial requests in a row that end an ejection: one may be luck, three hardly. */
    private static final int SUCCESSES_TO_RETURN = 3;
    /** Mean time from an ejection to its first trial request. */
    private static final long BASE_TRIAL_INTERVAL_US = 250_000;
    /** The longest mean time between trial requests, which doubles with each that fails. */
    private static final long MAX_TRIAL_INTERVAL_US = 4_000_000;

    /** What a success did to an ejection. */
    enum Recovery {
        /** There was none, or it goes on. */
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

    /** The servers in use that are ejected for all classes or for one; a view. */
    List<ServerRecord> ejectedServers() {
        return ejected;
    }

    /**
     * An attempt failed.
     *
     * @param unhealthy whether the failure shows a fault of the server, not its load
     */
    void onFailure(ServerRecord server, ServerHealth classHealth, boolean unhealthy, long nowUs) {
        server.lastAttemptAnswered = false;
        if (unhealthy) {
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
        boolean concernsOneClass = health == classHealth;
        return concernsOneClass || !servesOtherClasses(server, classHealth);
    }

    /** Whether another class has succeeded since this one did, without a failure among its last answers. */
    private static boolean servesOtherClasses(ServerRecord server, ServerHealth classHealth) {
        for (int classIndex = 0; classIndex < server.classHealth.size(); classIndex++) {
            ServerHealth other = server.classHealth.get(classIndex);
            if (other.succeededAtUs > classHealth.succeededAtUs && other.recentFailures() == 0) {
                return true;
            }
        }
        return false;
    }

    /** Ejects a server, or doubles the time of one that is ejected. */
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
        // Jitter: nodes that ejected a server together must not try it together.
        health.trialAtUs = nowUs + health.trialIntervalUs / 2 + random.nextLong(health.trialIntervalUs);
        refresh();
    }

    /** Never more than half are ejected: when most servers fail, the fault is not theirs. */
    private boolean mayEjectOneMore(int classIndex) {
        return 2 * (countEjectedFor(classIndex) + 1) <= state.servers.length;
    }

    /** How many servers are ejected for this class, or with -1 for all. */
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

    /** An attempt succeeded. If that ends an ejection, the caller resets the server and calls {@link #refresh}. */
    Recovery onSuccess(ServerRecord server, ServerHealth classHealth, long nowUs) {
        if (recordSuccess(server.health, nowUs)) {
            actions.restored(server.id, null);
            returnAll(server);
            return Recovery.SERVER;
        }
        if (recordSuccess(classHealth, nowUs)) {
            actions.restored(server.id, className(server.classHealth.indexOf(classHealth)));
            returnToUse(classHealth);
            return Recovery.CLASS;
        }
        return Recovery.NONE;
    }

    /** Returns true if this success ends the ejection. */
    private static boolean recordSuccess(ServerHealth health, long nowUs) {
        health.history <<= 1;
        health.succeededAtUs = nowUs;
        health.trialAtUs = nowUs;
        return health.ejected && ++health.trialsSucceeded >= SUCCESSES_TO_RETURN;
    }

    /** The server's process is a new one: nothing that was counted says anything of it. */
    void onRestarted(ServerRecord server) {
        server.health.history = 0;
        for (int classIndex = 0; classIndex < server.classHealth.size(); classIndex++) {
            server.classHealth.get(classIndex).history = 0;
        }
        returnAll(server);
    }

    private static void returnAll(ServerRecord server) {
        returnToUse(server.health);
        for (int classIndex = 0; classIndex < server.classHealth.size(); classIndex++) {
            returnToUse(server.classHealth.get(classIndex));
        }
    }

    /** The last answers stand: the next failure ejects again, until the failures among them are made up for. */
    private static void returnToUse(ServerHealth health) {
        health.ejected = false;
        health.trialsSucceeded = 0;
    }

    /** Lists the ejected servers and counts the others anew, after a change of either. */
    void refresh() {
        state.recount();
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
