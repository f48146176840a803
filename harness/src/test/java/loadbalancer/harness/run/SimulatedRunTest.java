package loadbalancer.harness.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import loadbalancer.harness.baseline.Baselines;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.simulation.Policy;
import org.junit.jupiter.api.Test;

class SimulatedRunTest {

    private static List<String> digests(Scenario scenario, int cores) throws InterruptedException {
        return SeedSweep.run(
                1,
                8,
                cores,
                seed -> SimulatedRun.run(scenario, seed, Policy.MODULE, null, true, (nowUs, testbed) -> {})
                        .digest(),
                digest -> {});
    }

    @Test
    void sameSeedGivesSameHistoryOnOneCoreAndOnEight() throws Exception {
        Scenario scenario = FaultyBalancerTest.scenario("hands");
        List<String> sequential = digests(scenario, 1);
        assertEquals(sequential, digests(scenario, 8));
        assertEquals(8, Set.copyOf(sequential).size());
    }

    @Test
    void noBaselineViolatesRulesWithoutColdServers() throws Exception {
        Scenario scenario = FaultyBalancerTest.scenario("jam");
        for (String name : Baselines.names()) {
            Outcome outcome = SimulatedRun.run(scenario, 5, Baselines.named(name));
            assertEquals(List.of(), outcome.violations(), name);
            assertTrue(outcome.score().firstTries() > 1_000, name);
        }
    }

    @Test
    void oraclePolicyBeatsRandom() throws Exception {
        Scenario scenario = FaultyBalancerTest.scenario("jam");
        double[][] g = new double[2][6];
        for (int seed = 0; seed < 6; seed++) {
            g[0][seed] = SimulatedRun.run(scenario, seed, Baselines.named("oracle"))
                    .score()
                    .g();
            g[1][seed] = SimulatedRun.run(scenario, seed, Baselines.named("random"))
                    .score()
                    .g();
        }
        Comparison comparison = Comparison.of(g[0], g[1]);
        assertTrue(comparison.from() > 0, comparison.toString());
        assertNotEquals(comparison.from(), comparison.to());
    }
}
