package loadbalancer.rig.world;

import java.util.SplittableRandom;

/** Draws from the distributions that a world is made of. */
final class Chance {
    private Chance() {}

    /** Waits between events that come by chance at this mean distance. */
    static long exponential(SplittableRandom from, double mean) {
        return Math.round(-mean * Math.log1p(-from.nextDouble()));
    }

    /** Lognormal with mean 1 and this spread over the mean. */
    static double spread(SplittableRandom from, double cv) {
        if (cv == 0) {
            return 1;
        }
        double variance = Math.log1p(cv * cv);
        return Math.exp(Math.sqrt(variance) * gaussian(from) - variance / 2);
    }

    /** A delay around its mean: lognormal, as a network's have a tail to the long side only. */
    static long delay(SplittableRandom from, long mean, double jitter) {
        return Math.round(mean * spread(from, jitter));
    }

    static double gaussian(SplittableRandom from) {
        return Math.sqrt(-2 * Math.log1p(-from.nextDouble())) * Math.cos(2 * Math.PI * from.nextDouble());
    }
}
