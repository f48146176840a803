package loadbalancer.harness.soak;

import java.util.List;
import java.util.Locale;

/**
 * The result of a soak.
 *
 * @param seed its seed
 * @param violations what broke the platform's rules, in order of time
 * @param ordinaryWaitsMs how long ordinary requests waited for their responses, ascending
 * @param attemptedSendings how many sendings of requests have reached a server
 * @param serverConnections how many connections were opened to servers
 * @param peakMemoryKb the most memory that one process has used
 * @param counters the counters of the last process
 */
public record SoakReport(
        long seed,
        List<String> violations,
        List<Double> ordinaryWaitsMs,
        int attemptedSendings,
        int serverConnections,
        long peakMemoryKb,
        String counters) {

    /** Returns a quantile of the waits of ordinary requests, in milliseconds; 0 if there were none. */
    public double waitMs(double quantile) {
        if (ordinaryWaitsMs.isEmpty()) {
            return 0;
        }
        return ordinaryWaitsMs.get((int) Math.min(ordinaryWaitsMs.size() - 1.0, quantile * ordinaryWaitsMs.size()));
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "seed %d: %s; %d ordinary answers, median %.0f, p99 %.0f, most %.0f ms; %d sendings attempted, %d"
                        + " server connections, %d MB",
                seed,
                violations.isEmpty() ? "rules kept" : violations.size() + " violations",
                ordinaryWaitsMs.size(),
                waitMs(0.5),
                waitMs(0.99),
                waitMs(1),
                attemptedSendings,
                serverConnections,
                peakMemoryKb >> 10);
    }
}
