package kitemux.rig.check;

import java.util.List;

import kitemux.rig.scenario.Scenario;

/** The checkers that every run of a fleet is held to. */
public final class Rules {
    private Rules() { }

    /** One of each of the platform's, with the figures of a scenario. */
    public static List<Checker> of(Scenario scenario) {
        Scenario.Rules rules = scenario.rules();
        return List.of(new OneAnswer(rules.answerGraceUs()), new Repeats(scenario),
                new Drains(rules.drainGraceUs() + rules.answerGraceUs()), new Cordons(),
                new ColdServers(rules.fallUs()));
    }
}
