package kitemux.node;

import java.util.Arrays;
import java.util.List;
import kitemux.Balancer.ReportField;

/**
 * Reads the load report that may come with an answer, such as {@code TEXT inflight=7, queue=2}: named figures
 * in any order, of which the settings say which count.
 */
final class LoadReport {
    static final String HEADER = "X-Pressure";
    private static final String FORM = "TEXT ";

    private LoadReport() {}

    /** The figures in the order of the settings, NaN for one left out; null for what cannot be read. */
    static double[] decode(String text, List<ReportField> fields) {
        if (text == null || fields.isEmpty() || !text.startsWith(FORM)) {
            return null;
        }
        double[] report = new double[fields.size()];
        Arrays.fill(report, Double.NaN);
        for (String part : text.substring(FORM.length()).split(",")) {
            int equals = part.indexOf('=');
            if (equals < 0) {
                return null;
            }
            ReportField named = field(part.substring(0, equals).strip());
            int at = named == null ? -1 : fields.indexOf(named);
            if (at < 0) {
                continue;
            }
            try {
                report[at] = Double.parseDouble(part.substring(equals + 1).strip());
            } catch (NumberFormatException e) {
                // A report is only a hint: the answer that it came with counts all the same.
                return null;
            }
        }
        return report;
    }

    /** Servers write the settings' names; the protocol's example has others. */
    private static ReportField field(String name) {
        return switch (name) {
            case "concurrent", "inflight" -> ReportField.IN_FLIGHT;
            case "depth", "queue" -> ReportField.QUEUED;
            case "load_share", "util" -> ReportField.UTILISATION;
            case "mean_ms", "latency_ms" -> ReportField.LATENCY_MS;
            case "tps", "qps" -> ReportField.SERVED_PER_S;
            case "err_ps", "eps" -> ReportField.ERRORS_PER_S;
            default -> null;
        };
    }
}
