package loadbalancer.harness.check;

import java.util.List;
import loadbalancer.harness.scenario.Scenario;

/** Creates the checkers that apply to every run of a fleet. */
public final class Checkers {
    private Checkers() {}

    /**
     * Returns a new checker for each rule of the platform, with the limits of a scenario.
     *
     * @param slackUs inaccuracy of the times of a history, which is added to the time limits
     */
    public static List<Checker> of(Scenario scenario, long slackUs) {
        Scenario.Rules rules = scenario.rules();
        return List.of(
                new OneAnswer(rules.responseGraceUs() + slackUs),
                new Repeats(scenario),
                new Drains(rules.drainGraceUs() + rules.responseGraceUs() + slackUs),
                new Cordons(),
                new ColdServers(rules.overloadUs()));
    }
}
