package loadbalancer.membership.core;

import java.util.HashSet;
import java.util.Set;

/**
 * How long a member has to contradict: long while one alone suspects it, shorter with each other member that
 * does. A slow process that suspects everybody then harms nobody, as it stays alone.
 */
final class Suspicion {
    private long startedUs;
    private final long leastUs;
    private final long mostUs;
    private final int wanted;
    private final Set<String> by = new HashSet<>();

    Suspicion(long nowUs, long leastUs, long mostUs, int wanted, String first) {
        startedUs = nowUs;
        this.leastUs = leastUs;
        this.mostUs = mostUs;
        this.wanted = wanted;
        by.add(first);
    }

    /** Another holds it too; true if that was news. */
    boolean confirm(String who) {
        return by.size() <= wanted && by.add(who);
    }

    /** Time that this process stood still is none that the other had. */
    void putOff(long us) {
        startedUs += us;
    }

    /** When it is over. */
    long endsUs() {
        if (wanted == 0) {
            return startedUs + leastUs;
        }
        double shorter = Math.log(by.size()) / Math.log(wanted + 1);
        return startedUs + Math.max(leastUs, Math.round(mostUs - (mostUs - leastUs) * shorter));
    }
}
