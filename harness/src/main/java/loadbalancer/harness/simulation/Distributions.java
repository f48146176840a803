package loadbalancer.harness.simulation;

import java.util.SplittableRandom;

/** Random draws from the distributions that the models use. */
final class Distributions {
    private Distributions() {}

    /** Draws the time until the next event of a Poisson process with this mean interval. */
    static long exponential(SplittableRandom random, double mean) {
        return Math.round(-mean * Math.log1p(-random.nextDouble()));
    }

    /** Draws from a lognormal distribution with mean 1 and this coefficient of variation. */
    static double spread(SplittableRandom random, double cv) {
        if (cv == 0) {
            return 1;
        }
        double variance = Math.log1p(cv * cv);
        return Math.exp(Math.sqrt(variance) * gaussian(random) - variance / 2);
    }

    /** Draws a delay with this mean: lognormal, as network delays have a long tail on one side only. */
    static long delay(SplittableRandom random, long mean, double jitter) {
        return Math.round(mean * spread(random, jitter));
    }

    static double gaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log1p(-random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
