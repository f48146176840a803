package loadbalancer.harness.run;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Two ways compared on the same seeds: the mean of the differences, and where 95 of 100 means lie that are
 * drawn from them anew (the bootstrap's percentile interval).
 */
public record Comparison(
        double meanA, double meanB, double worstA, double worstB, double difference, double from, double to) {
    private static final int DRAWS = 10_000;

    /** Figures of A and B by seed. */
    public static Comparison of(double[] a, double[] b) {
        double[] differences = new double[a.length];
        for (int i = 0; i < a.length; i++) {
            differences[i] = a[i] - b[i];
        }
        // Its own fixed seed: the interval of the same figures is the same each time.
        SplittableRandom random = new SplittableRandom(a.length);
        double[] means = new double[DRAWS];
        for (int draw = 0; draw < DRAWS; draw++) {
            double sum = 0;
            for (int i = 0; i < differences.length; i++) {
                sum += differences[random.nextInt(differences.length)];
            }
            means[draw] = sum / differences.length;
        }
        Arrays.sort(means);
        return new Comparison(
                mean(a),
                mean(b),
                Arrays.stream(a).min().orElseThrow(),
                Arrays.stream(b).min().orElseThrow(),
                mean(differences),
                means[DRAWS / 40],
                means[DRAWS - 1 - DRAWS / 40]);
    }

    private static double mean(double[] of) {
        return Arrays.stream(of).average().orElseThrow();
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "A mean %.4f worst %.4f   B mean %.4f worst %.4f   A - B %+.4f" + " (95%%: %+.4f to %+.4f)",
                meanA,
                worstA,
                meanB,
                worstB,
                difference,
                from,
                to);
    }
}
