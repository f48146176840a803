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
public final class Shrink {
    /** A run goes on for so long after the violation, so that its own end does not hide it. */
    private static final long BEYOND_US = 1_000_000;

    private static final int MAX_PLAYS = 200;

    private final Function<Scenario, Outcome> play;
    private final String rule;
    private int plays;

    /** A smaller scenario that still breaks the rule, and how. */
    public record Smallest(Scenario scenario, Violation violation, int plays) {}

    private Shrink(Function<Scenario, Outcome> play, String rule) {
        this.play = play;
        this.rule = rule;
    }

    /**
     * @param play plays a scenario with the seed that broke the rule
     * @param found how it was broken
     */
    public static Smallest shrink(Scenario scenario, Violation found, Function<Scenario, Outcome> play) {
        Shrink shrink = new Shrink(play, found.rule());
        Smallest best = new Smallest(scenario, found, 0);
        boolean smaller = true;
        while (smaller && shrink.plays < MAX_PLAYS) {
            smaller = false;
            for (Scenario next : lesser(best)) {
                Optional<Violation> still = shrink.breaks(next);
                if (still.isPresent()) {
                    best = new Smallest(next, still.get(), shrink.plays);
                    smaller = true;
                    break;
                }
            }
        }
        return new Smallest(best.scenario, best.violation, shrink.plays);
    }

    private Optional<Violation> breaks(Scenario scenario) {
        plays++;
        return play.apply(scenario).violations().stream()
                .filter(v -> v.rule().equals(rule))
                .findFirst();
    }

    /** What to try next, the largest step first. */
    private static List<Scenario> lesser(Smallest from) {
        List<Scenario> lesser = new ArrayList<>();
        Scenario s = from.scenario;
        for (int i = 0; i < s.faults().size(); i++) {
            List<Scenario.FaultSpec> fewer = new ArrayList<>(s.faults());
            fewer.remove(i);
            lesser.add(s.with(fewer));
        }
        long needed = from.violation.atUs() + BEYOND_US;
        if (needed < s.lengthUs()) {
            lesser.add(s.with(needed, s.fleet(), s.load()));
        }
        Scenario.Fleet f = s.fleet();
        Scenario.Load l = s.load();
        if (f.nodes() > 1) {
            lesser.add(s.with(s.lengthUs(), f.first(f.nodes() / 2, f.servers()), l));
        }
        if (f.servers() > 1) {
            lesser.add(s.with(s.lengthUs(), f.first(f.nodes(), f.servers() / 2), l.of(l.perSecond() / 2, l.keys())));
        }
        if (l.keys() > 0) {
            lesser.add(s.with(s.lengthUs(), f, l.of(l.perSecond(), 0)));
        }
        if (l.perSecond() > 1) {
            lesser.add(s.with(s.lengthUs(), f, l.of(l.perSecond() / 2, l.keys())));
        }
        return lesser;
    }
}
