package loadbalancer.harness.run;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.harness.check.Checker;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.history.History;
import loadbalancer.harness.simulation.Score;
import loadbalancer.harness.simulation.World;

/**
 * What came of one run.
 *
 * @param violations the first of each rule that was broken
 * @param events lines of its history
 * @param digest the sum over its history, or null where that was not asked for
 */
public record Outcome(long seed, Score.Result score, List<Violation> violations, long events, String digest) {
    /** Sums up a run that has come to its end. */
    public static Outcome of(
            long seed, World world, History history, List<Checker> checkers, long nowUs, boolean summed) {
        List<Violation> violations = new ArrayList<>();
        for (Checker checker : checkers) {
            checker.end(nowUs);
            checker.violations().stream().limit(1).forEach(violations::add);
        }
        return new Outcome(
                seed,
                world.score().result(List.copyOf(world.servers().values())),
                violations,
                history.events(),
                summed ? history.digest() : null);
    }

    public boolean keepsRules() {
        return violations.isEmpty();
    }
}
