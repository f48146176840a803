package loadbalancer.membership.core;

/**
 * Lifeguard's local health: a score from 0 (healthy) up to a maximum. A higher score lengthens the probe period and
 * timeout. Guards against a slow or cut-off process that misses acks and declares other members failed.
 */
final class LocalHealth {
    private final int max;
    private int score;

    LocalHealth(int max) {
        this.max = max;
    }

    int score() {
        return score;
    }

    /** Factor by which the probe period and the probe timeout are multiplied. */
    int timeFactor() {
        return 1 + score;
    }

    void degrade(int by) {
        score = Math.min(max, score + by);
    }

    void improve() {
        score = Math.max(0, score - 1);
    }
}
