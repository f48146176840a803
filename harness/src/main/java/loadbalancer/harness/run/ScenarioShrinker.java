package loadbalancer.harness.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.scenario.Scenario;

/**
 * Makes a scenario that breaks a rule smaller for as long as it still breaks the same one: faults are left
 * out one at a time, the run ends soon after the violation, then there are fewer nodes, servers and requests.
 */
public final class ScenarioShrinker {
    /** A run goes on for so long after the violation, so that its own end does not hide it. */
    private static final long BEYOND_US = 1_000_000;

    private static final int MAX_RUNS = 200;

    private final Function<Scenario, Outcome> runner;
    private final String rule;
    private int runs;

    /** A smaller scenario that still breaks the rule, and how. */
    public record Result(Scenario scenario, Violation violation, int runs) {}

    private ScenarioShrinker(Function<Scenario, Outcome> runner, String rule) {
        this.runner = runner;
        this.rule = rule;
    }

    /**
     * @param play plays a scenario with the seed that broke the rule
     * @param found how it was broken
     */
    public static Result shrink(Scenario scenario, Violation found, Function<Scenario, Outcome> runner) {
        ScenarioShrinker shrinker = new ScenarioShrinker(runner, found.rule());
        Result best = new Result(scenario, found, 0);
        boolean smaller = true;
        while (smaller && shrinker.runs < MAX_RUNS) {
            smaller = false;
            for (Scenario next : smallerCandidates(best)) {
                Optional<Violation> still = shrinker.breaks(next);
                if (still.isPresent()) {
                    best = new Result(next, still.get(), shrinker.runs);
                    smaller = true;
                    break;
                }
            }
        }
        return new Result(best.scenario, best.violation, shrinker.runs);
    }

    private Optional<Violation> breaks(Scenario scenario) {
        runs++;
        return runner.apply(scenario).violations().stream()
                .filter(v -> v.rule().equals(rule))
                .findFirst();
    }

    /** What to try next, the largest step first. */
    private static List<Scenario> smallerCandidates(Result current) {
        List<Scenario> candidates = new ArrayList<>();
        Scenario scenario = current.scenario;
        for (int i = 0; i < scenario.faults().size(); i++) {
            List<Scenario.FaultSpec> fewer = new ArrayList<>(scenario.faults());
            fewer.remove(i);
            candidates.add(scenario.with(fewer));
        }
        long neededUs = current.violation.atUs() + BEYOND_US;
        if (neededUs < scenario.lengthUs()) {
            candidates.add(scenario.with(neededUs, scenario.fleet(), scenario.load()));
        }
        Scenario.Fleet fleet = scenario.fleet();
        Scenario.Load load = scenario.load();
        if (fleet.nodes() > 1) {
            candidates.add(scenario.with(scenario.lengthUs(), fleet.first(fleet.nodes() / 2, fleet.servers()), load));
        }
        if (fleet.servers() > 1) {
            candidates.add(scenario.with(
                    scenario.lengthUs(),
                    fleet.first(fleet.nodes(), fleet.servers() / 2),
                    load.of(load.perSecond() / 2, load.keys())));
        }
        if (load.keys() > 0) {
            candidates.add(scenario.with(scenario.lengthUs(), fleet, load.of(load.perSecond(), 0)));
        }
        if (load.perSecond() > 1) {
            candidates.add(scenario.with(scenario.lengthUs(), fleet, load.of(load.perSecond() / 2, load.keys())));
        }
        return candidates;
    }
}
