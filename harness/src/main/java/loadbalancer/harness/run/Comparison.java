package loadbalancer.harness.run;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * Compares two variants, A and B, on the same seeds: the mean of the paired differences, and its 95 % confidence
 * interval by the percentile bootstrap.
 *
 * @param worstA the smallest value of A
 * @param worstB the smallest value of B
 * @param difference mean of A - B
 * @param from lower bound of the confidence interval
 * @param to upper bound of the confidence interval
 */
public record Comparison(
        double meanA, double meanB, double worstA, double worstB, double difference, double from, double to) {
    /** Bootstrap samples. */
    private static final int DRAWS = 10_000;

    /** Compares the values of A and B, which are in the order of the seeds. */
    public static Comparison of(double[] a, double[] b) {
        double[] differences = new double[a.length];
        for (int i = 0; i < a.length; i++) {
            differences[i] = a[i] - b[i];
        }
        // A fixed seed: the same values always give the same interval.
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
