package loadbalancer.policy;

/** What a server reported of its load with one answer. Immutable. */
public final class LoadReport {
    private final double[] values;

    private LoadReport(double[] values) {
        this.values = values;
    }

    /** Values in the order of {@link BalancerSettings#reportFields}, NaN where one is missing; the array is copied. */
    public static LoadReport of(double... values) {
        return new LoadReport(values.clone());
    }

    /** The value of the field at this index of {@link BalancerSettings#reportFields}; NaN if it is missing. */
    public double value(int fieldIndex) {
        return values[fieldIndex];
    }

    /** A copy of all values, in order. */
    public double[] values() {
        return values.clone();
    }
}
