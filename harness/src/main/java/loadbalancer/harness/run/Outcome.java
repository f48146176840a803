package loadbalancer.harness.run;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.harness.check.Checker;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.history.History;
import loadbalancer.harness.simulation.Score;
import loadbalancer.harness.simulation.Testbed;

/**
 * Result of one run.
 *
 * @param violations the first violation of each violated rule
 * @param events number of lines in its history
 * @param digest the digest of its history, or null if none was requested
 */
public record Outcome(long seed, Score.Result score, List<Violation> violations, long events, String digest) {
    /**
     * Ends the checkers and collects the result of a finished run.
     *
     * @param withDigest whether to include the digest of the history
     */
    public static Outcome of(
            long seed, Testbed testbed, History history, List<Checker> checkers, long nowUs, boolean withDigest) {
        List<Violation> violations = new ArrayList<>();
        for (Checker checker : checkers) {
            checker.end(nowUs);
            checker.violations().stream().limit(1).forEach(violations::add);
        }
        return new Outcome(
                seed,
                testbed.score().result(List.copyOf(testbed.servers().values())),
                violations,
                history.events(),
                withDigest ? history.digest() : null);
    }

    public boolean keepsRules() {
        return violations.isEmpty();
    }
}
