package loadbalancer.policy;

/** The load that a server reported with one response. Immutable. */
public final class LoadReport {
    private final double[] values;

    private LoadReport(double[] values) {
        this.values = values;
    }

    /**
     * Creates a report of values in the order of {@link BalancerSettings#reportFields}, NaN where one is missing;
     * copies the array.
     */
    public static LoadReport of(double... values) {
        return new LoadReport(values.clone());
    }

    /** Returns the field at this index of {@link BalancerSettings#reportFields}; NaN if it is missing. */
    public double value(int fieldIndex) {
        return values[fieldIndex];
    }

    /** Returns a copy of all values, in order. */
    public double[] values() {
        return values.clone();
    }
}
