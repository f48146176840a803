package loadbalancer.membership.core;

import java.util.HashSet;
import java.util.Set;

/**
 * Timeout within which a suspected member has to refute. It is longest while a single member suspects it, and shrinks
 * logarithmically with each other member that confirms the suspicion, down to the minimum at the required number of
 * confirmations. Guards against a slow process that suspects everyone: no other member confirms, so each suspected
 * member has the longest time to refute. Where no confirmation is required, as in a fleet too small for one, the
 * timeout is always the minimum.
 */
final class Suspicion {
    private long startedAtUs;
    private final long minTimeoutUs;
    private final long maxTimeoutUs;
    private final int requiredConfirmations;
    private final Set<String> reporters = new HashSet<>();

    Suspicion(long nowUs, long minTimeoutUs, long maxTimeoutUs, int requiredConfirmations, String firstReporter) {
        startedAtUs = nowUs;
        this.minTimeoutUs = minTimeoutUs;
        this.maxTimeoutUs = maxTimeoutUs;
        this.requiredConfirmations = requiredConfirmations;
        reporters.add(firstReporter);
    }

    /** Adds a confirmation. Returns whether the reporter is new and the required confirmations were not yet reached. */
    boolean confirm(String reporter) {
        return reporters.size() <= requiredConfirmations && reporters.add(reporter);
    }

    /** Moves the timeout by the length of a pause of this process, which could not receive a refutation meanwhile. */
    void postpone(long us) {
        startedAtUs += us;
    }

    /** End of the timeout, given the confirmations so far. */
    long endsAtUs() {
        if (requiredConfirmations == 0) {
            return startedAtUs + minTimeoutUs;
        }
        double confirmed = Math.log(reporters.size()) / Math.log(requiredConfirmations + 1);
        long timeoutUs = Math.round(maxTimeoutUs - (maxTimeoutUs - minTimeoutUs) * confirmed);
        return startedAtUs + Math.max(minTimeoutUs, timeoutUs);
    }
}
