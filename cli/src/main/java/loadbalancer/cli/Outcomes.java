package loadbalancer.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.run.Outcome;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Score;

/** Writes outcomes in a format for other programs. */
final class Outcomes {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Outcomes() {}

    /** Returns the outcome as one line of JSON. Times are in microseconds; shares are between 0 and 1. */
    static String json(Scenario scenario, Outcome outcome) {
        Score.Result score = outcome.score();
        ObjectNode line = JSON.createObjectNode();
        line.put("scenario", scenario.name())
                .put("seed", outcome.seed())
                .put("kept", outcome.keepsRules())
                .put("g", score.g())
                .put("whole", score.whole())
                .put("worstWindow", score.worstWindow())
                .put("worstClass", score.worstClass())
                .put("firstTries", score.firstTries())
                .put("attempts", score.attempts())
                .put("crossing", score.crossing())
                .put("inTime", score.inTime())
                .put("refused", score.refused())
                .put("failed", score.failed())
                .put("medianUs", score.medianUs())
                .put("p99Us", score.p99Us())
                .put("events", outcome.events())
                .put("digest", outcome.digest());
        ArrayNode violations = line.putArray("violations");
        for (Violation violation : outcome.violations()) {
            violations
                    .addObject()
                    .put("rule", violation.rule())
                    .put("atUs", violation.atUs())
                    .put("what", violation.what());
        }
        try {
            return JSON.writeValueAsString(line);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the outcome as JSON", e);
        }
    }
}
