package loadbalancer.harness.simulation;

import java.util.SplittableRandom;

/** Draws from the distributions that a world is made of. */
final class Distributions {
    private Distributions() {}

    /** The time until the next event, of events at random with this mean distance. */
    static long exponential(SplittableRandom random, double mean) {
        return Math.round(-mean * Math.log1p(-random.nextDouble()));
    }

    /** Lognormal with mean 1 and this spread over the mean. */
    static double spread(SplittableRandom random, double cv) {
        if (cv == 0) {
            return 1;
        }
        double variance = Math.log1p(cv * cv);
        return Math.exp(Math.sqrt(variance) * gaussian(random) - variance / 2);
    }

    /** A delay around its mean: lognormal, as a network's have a tail to the long side only. */
    static long delay(SplittableRandom random, long mean, double jitter) {
        return Math.round(mean * spread(random, jitter));
    }

    static double gaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log1p(-random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
