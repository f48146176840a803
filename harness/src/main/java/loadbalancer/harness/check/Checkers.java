package loadbalancer.harness.check;

import java.util.List;
import loadbalancer.harness.scenario.Scenario;

/** The checkers that every run of a fleet is held to. */
public final class Checkers {
    private Checkers() {}

    /**
     * One of each of the platform's, with the figures of a scenario.
     *
     * @param slackUs by how much the times of a history may be off
     */
    public static List<Checker> of(Scenario scenario, long slackUs) {
        Scenario.Rules rules = scenario.rules();
        return List.of(
                new OneAnswer(rules.answerGraceUs() + slackUs),
                new Repeats(scenario),
                new Drains(rules.drainGraceUs() + rules.answerGraceUs() + slackUs),
                new Cordons(),
                new ColdServers(rules.overloadUs()));
    }
}
