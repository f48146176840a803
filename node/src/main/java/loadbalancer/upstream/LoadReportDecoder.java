package loadbalancer.upstream;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.LoadReportField;

/**
 * Decodes the load report that a response may carry, such as {@code TEXT inflight=7, queue=2}: named values in any
 * order, of which the settings select those to use.
 */
public final class LoadReportDecoder {
    private static final String TEXT_FORMAT = "TEXT ";
    private static final String FIELD_SEPARATOR = ",";
    private static final char VALUE_SEPARATOR = '=';

    /**
     * Names on the wire. Servers use the names of the settings; the example in the description of the platform's
     * protocol uses others.
     */
    private static final Map<String, LoadReportField> FIELDS_BY_WIRE_NAME = Map.ofEntries(
            Map.entry("concurrent", LoadReportField.IN_FLIGHT),
            Map.entry("inflight", LoadReportField.IN_FLIGHT),
            Map.entry("depth", LoadReportField.QUEUED),
            Map.entry("queue", LoadReportField.QUEUED),
            Map.entry("load_share", LoadReportField.UTILISATION),
            Map.entry("util", LoadReportField.UTILISATION),
            Map.entry("mean_ms", LoadReportField.LATENCY_MS),
            Map.entry("latency_ms", LoadReportField.LATENCY_MS),
            Map.entry("tps", LoadReportField.SERVED_PER_S),
            Map.entry("qps", LoadReportField.SERVED_PER_S),
            Map.entry("err_ps", LoadReportField.ERRORS_PER_S),
            Map.entry("eps", LoadReportField.ERRORS_PER_S));

    private LoadReportDecoder() {}

    /**
     * Decodes a load report.
     *
     * @param text the report, or null if there is none
     * @param fields the fields to use, in the order of the settings
     * @return the values in the order of {@code fields}, with NaN for a missing one; null if there is no report, the
     *     report cannot be parsed or no field is to be used
     */
    public static LoadReport decode(String text, List<LoadReportField> fields) {
        if (text == null || fields.isEmpty() || !text.startsWith(TEXT_FORMAT)) {
            return null;
        }
        double[] values = new double[fields.size()];
        Arrays.fill(values, Double.NaN);
        for (String part : text.substring(TEXT_FORMAT.length()).split(FIELD_SEPARATOR)) {
            int separator = part.indexOf(VALUE_SEPARATOR);
            if (separator < 0) {
                return null;
            }
            LoadReportField field =
                    FIELDS_BY_WIRE_NAME.get(part.substring(0, separator).strip());
            int index = field == null ? -1 : fields.indexOf(field);
            if (index < 0) {
                continue;
            }
            try {
                values[index] = Double.parseDouble(part.substring(separator + 1).strip());
            } catch (NumberFormatException e) {
                // A malformed report is ignored: the response that carries it is still valid.
                return null;
            }
        }
        return LoadReport.of(values);
    }
}
