package loadbalancer.membership.core;

/**
 * Lifeguard's local health: a score from 0 (healthy) up by which this process doubts itself before others. A higher
 * score makes its probe period and timeout longer. Guards against a slow or cut-off process that takes its own missing
 * acks for failures of others.
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

    /** By how much probe period and timeout are longer. */
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
