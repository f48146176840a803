package loadbalancer.harness.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.scenario.Scenario;

/**
 * Reduces a scenario that violates a rule to a smaller one that still violates the same rule. It removes faults one at
 * a time, ends the run soon after the violation, and then reduces nodes, servers and load.
 */
public final class ScenarioShrinker {
    /** A run continues for this long after the violation, so that the end of the run does not hide it. */
    private static final long BEYOND_US = 1_000_000;

    private static final int MAX_RUNS = 200;

    private final Function<Scenario, Outcome> runner;
    private final String rule;
    private int runs;

    /**
     * The smallest scenario found that still violates the rule.
     *
     * @param runs number of runs that the search took
     */
    public record Result(Scenario scenario, Violation violation, int runs) {}

    private ScenarioShrinker(Function<Scenario, Outcome> runner, String rule) {
        this.runner = runner;
        this.rule = rule;
    }

    /**
     * Searches for a smaller scenario until no step makes it smaller, or after {@value #MAX_RUNS} runs.
     *
     * @param found a violation in a run of the scenario
     * @param runner runs a scenario with the seed that led to the violation
     */
    public static Result shrink(Scenario scenario, Violation found, Function<Scenario, Outcome> runner) {
        ScenarioShrinker shrinker = new ScenarioShrinker(runner, found.rule());
        Result best = new Result(scenario, found, 0);
        boolean smaller = true;
        while (smaller && shrinker.runs < MAX_RUNS) {
            smaller = false;
            for (Scenario next : candidates(best)) {
                Optional<Violation> still = shrinker.findViolation(next);
                if (still.isPresent()) {
                    best = new Result(next, still.get(), shrinker.runs);
                    smaller = true;
                    break;
                }
            }
        }
        return new Result(best.scenario, best.violation, shrinker.runs);
    }

    private Optional<Violation> findViolation(Scenario scenario) {
        runs++;
        return runner.apply(scenario).violations().stream()
                .filter(v -> v.rule().equals(rule))
                .findFirst();
    }

    /** Smaller scenarios to try next, the largest reduction first. */
    private static List<Scenario> candidates(Result from) {
        List<Scenario> candidates = new ArrayList<>();
        Scenario s = from.scenario;
        for (int i = 0; i < s.faults().size(); i++) {
            List<Scenario.FaultSpec> fewer = new ArrayList<>(s.faults());
            fewer.remove(i);
            candidates.add(s.with(fewer));
        }
        long neededUs = from.violation.atUs() + BEYOND_US;
        if (neededUs < s.lengthUs()) {
            candidates.add(s.with(neededUs, s.fleet(), s.load()));
        }
        Scenario.Fleet f = s.fleet();
        Scenario.Load l = s.load();
        if (f.nodes() > 1) {
            candidates.add(s.with(s.lengthUs(), f.first(f.nodes() / 2, f.servers()), l));
        }
        if (f.servers() > 1) {
            candidates.add(
                    s.with(s.lengthUs(), f.first(f.nodes(), f.servers() / 2), l.with(l.perSecond() / 2, l.keys())));
        }
        if (l.keys() > 0) {
            candidates.add(s.with(s.lengthUs(), f, l.with(l.perSecond(), 0)));
        }
        if (l.perSecond() > 1) {
            candidates.add(s.with(s.lengthUs(), f, l.with(l.perSecond() / 2, l.keys())));
        }
        return candidates;
    }
}
