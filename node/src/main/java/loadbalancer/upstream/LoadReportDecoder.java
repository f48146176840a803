package loadbalancer.upstream;

import java.util.Arrays;
import java.util.List;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.LoadReportField;

/**
 * Reads the load report that may come with an answer, such as {@code TEXT inflight=7, queue=2}: named figures
 * in any order, of which the settings say which count.
 */
public final class LoadReportDecoder {
    static final String HEADER = "X-Pressure";
    private static final String FORM = "TEXT ";

    private LoadReportDecoder() {}

    /** The figures in the order of the settings, NaN for one left out; null for what cannot be read. */
    public static LoadReport decode(String text, List<LoadReportField> fields) {
        if (text == null || fields.isEmpty() || !text.startsWith(FORM)) {
            return null;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        for (String part : text.substring(FORM.length()).split(",")) {
            int equals = part.indexOf('=');
            if (equals < 0) {
                return null;
            }
            LoadReportField named = field(part.substring(0, equals).strip());
            int at = named == null ? -1 : fields.indexOf(named);
            if (at < 0) {
                continue;
            }
            try {
                values[at] = Double.parseDouble(part.substring(equals + 1).strip());
            } catch (NumberFormatException e) {
                // A report is only a hint: the answer that it came with counts all the same.
                return null;
            }
        }
        return LoadReport.of(values);
    }

    /** Servers write the settings' names; the protocol's example has others. */
    private static LoadReportField field(String name) {
        return switch (name) {
            case "concurrent", "inflight" -> LoadReportField.IN_FLIGHT;
            case "depth", "queue" -> LoadReportField.QUEUED;
            case "load_share", "util" -> LoadReportField.UTILISATION;
            case "mean_ms", "latency_ms" -> LoadReportField.LATENCY_MS;
            case "tps", "qps" -> LoadReportField.SERVED_PER_S;
            case "err_ps", "eps" -> LoadReportField.ERRORS_PER_S;
            default -> null;
        };
    }
}
