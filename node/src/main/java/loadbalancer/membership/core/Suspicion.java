package loadbalancer.membership.core;

import java.util.HashSet;
import java.util.Set;

/**
 * How long a suspected member has to refute: long while a single member suspects it, shorter with each other member
 * that confirms. A slow process that suspects everybody then harms nobody, as no other member confirms.
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

    /** Another member suspects it too; true if that is new and still counts. */
    boolean confirm(String reporter) {
        return reporters.size() <= requiredConfirmations && reporters.add(reporter);
    }

    /** Moves the timeout: a time in which this process was paused is none in which it could hear a refutation. */
    void postpone(long us) {
        startedAtUs += us;
    }

    /** The end of the timeout. */
    long endsAtUs() {
        if (requiredConfirmations == 0) {
            return startedAtUs + minTimeoutUs;
        }
        double confirmed = Math.log(reporters.size()) / Math.log(requiredConfirmations + 1);
        long timeoutUs = Math.round(maxTimeoutUs - (maxTimeoutUs - minTimeoutUs) * confirmed);
        return startedAtUs + Math.max(minTimeoutUs, timeoutUs);
    }
}
