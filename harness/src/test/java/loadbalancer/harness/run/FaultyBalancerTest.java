package loadbalancer.harness.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Stream;
import loadbalancer.harness.check.Violation;
import loadbalancer.harness.fault.Faults;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.scenario.ScenarioFile;
import loadbalancer.harness.simulation.Policy;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Mutation tests of the checkers: each seeded fault of the balancer must be detected by its checker, in a scenario that
 * exposes it.
 */
class FaultyBalancerTest {

    private record Mutant(String name, String rule, String scenario, Supplier<FaultyBalancer> balancer) {}

    /** Reads a scenario of the project, with the overrides after its name: {@code jam load.per_second=9}. */
    static Scenario scenario(String name) throws Exception {
        Map<String, String> overrides = new TreeMap<>();
        String[] words = name.split("[ =]");
        for (int i = 1; i < words.length; i += 2) {
            overrides.put(words[i], words[i + 1]);
        }
        return ScenarioFile.read(Path.of("scenarios", words[0] + ".toml"), overrides, Faults.names());
    }

    private static boolean isNonIdempotent(FaultyBalancer balancer, long request) {
        return balancer.settings
                        .classes
                        .get(balancer.requests.get(request).classIndex())
                        .idempotency()
                == Idempotency.NON_IDEMPOTENT;
    }

    private static Stream<Mutant> mutants() {
        return Stream.of(
                new Mutant("draining server treated as ready", "Drains", "herd", () -> new FaultyBalancer() {
                    @Override
                    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
                        super.onServers(
                                nowUs,
                                kind,
                                entries.stream()
                                        .filter(e -> e.state() == ServerState.READY || kind != ListKind.CHANGES)
                                        .toList());
                    }
                }),
                new Mutant("changes of the endpoint list ignored", "Drains", "hands", () -> new FaultyBalancer() {
                    @Override
                    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
                        if (kind != ListKind.CHANGES) {
                            super.onServers(nowUs, kind, entries);
                        }
                    }
                }),
                new Mutant("cordon ignored", "Cordons", "hands", () -> new FaultyBalancer() {
                    @Override
                    public void onCordoned(long nowUs, Set<String> serverIds) {
                        super.onCordoned(nowUs, Set.of());
                    }
                }),
                new Mutant("response lost", "OneAnswer", "jam", () -> new FaultyBalancer() {
                    @Override
                    public void fail(long requestId) {
                        if (requestId % 3 > 0) {
                            super.fail(requestId);
                        }
                    }
                }),
                new Mutant("response delayed for too long", "OneAnswer", "jam", () -> new FaultyBalancer() {
                    private final List<Long> delayed = new ArrayList<>();

                    @Override
                    public void reject(long requestId, long retryAfterUs) {
                        delayed.add(requestId);
                    }

                    @Override
                    public void onWake(long nowUs) {
                        super.onWake(nowUs);
                        delayed.removeIf(id -> {
                            boolean due = requests.get(id).remainingUs() > 0 && nowUs % 97 == 0;
                            if (due) {
                                out.reject(id, 0);
                            }
                            return due;
                        });
                    }
                }),
                new Mutant("rejection of a request that may have run", "Repeats", "jam", () -> new FaultyBalancer() {
                    @Override
                    public void fail(long requestId) {
                        super.reject(requestId, 0);
                    }
                }),
                new Mutant("retry of a request that may have run", "Repeats", "jam", () -> new FaultyBalancer() {
                    @Override
                    public void onOutcome(long nowUs, AttemptOutcome outcome) {
                        if (outcome.result() == AttemptResult.ERROR
                                && isNonIdempotent(this, outcome.requestId())
                                && !outcome.requestEnded()) {
                            out.send(outcome.requestId(), another(sentTo.get(outcome.requestId())), 0, 0);
                        }
                        super.onOutcome(nowUs, outcome);
                    }
                }),
                new Mutant("hedged request of a non-idempotent class", "Repeats", "calm", () -> new FaultyBalancer() {
                    @Override
                    public void send(long requestId, String serverId, long startByUs, long endByUs) {
                        super.send(requestId, serverId, startByUs, endByUs);
                        if (isNonIdempotent(this, requestId)) {
                            out.send(requestId, another(serverId), startByUs, endByUs);
                        }
                    }
                }),
                new Mutant(
                        "more attempts than allowed",
                        "Repeats",
                        "jam rules.max_attempts=1",
                        () -> new FaultyBalancer() {
                            @Override
                            BalancerSettings adjustSettings(BalancerSettings original) {
                                BalancerSettings more = new BalancerSettings();
                                more.nodes = original.nodes;
                                more.nodeIndex = original.nodeIndex;
                                more.zones.addAll(original.zones);
                                more.classes.addAll(original.classes);
                                more.maxAttempts = original.maxAttempts + 4;
                                return more;
                            }
                        }),
                new Mutant("cold servers overloaded", "ColdServers", "herd", () -> new FaultyBalancer() {
                    @Override
                    public void send(long requestId, String serverId, long startByUs, long endByUs) {
                        String coldest = listed.values().stream()
                                .filter(e -> e.state() == ServerState.READY && e.startedAtUs() > 0)
                                .max((a, b) -> Long.compare(a.startedAtUs(), b.startedAtUs()))
                                .map(ServerEntry::id)
                                .orElse(serverId);
                        super.send(requestId, coldest, startByUs, endByUs);
                    }
                }));
    }

    @TestFactory
    Stream<DynamicTest> checkerDetectsEachFaultyBalancer() {
        return mutants()
                .map(mutant -> DynamicTest.dynamicTest(mutant.name, () -> {
                    Scenario scenario = scenario(mutant.scenario);
                    List<Violation> violations = SimulatedRun.run(scenario, 1, FaultyBalancer.policy(mutant.balancer))
                            .violations();
                    assertTrue(
                            violations.stream().anyMatch(v -> v.rule().equals(mutant.rule)),
                            mutant.rule + " not among "
                                    + violations.stream().map(Violation::rule).toList());
                    assertFalse(violations.get(0).events().isEmpty());
                }));
    }

    @Test
    void unmodifiedBalancerViolatesNoRuleInTheSameScenarios() throws Exception {
        for (String name : List.of("calm", "jam", "herd", "hands", "links", "zone")) {
            for (long seed = 1; seed <= 4; seed++) {
                assertEquals(
                        List.of(),
                        SimulatedRun.run(scenario(name), seed, Policy.MODULE).violations(),
                        name + seed);
            }
        }
    }

    @Test
    void violationIsShrunkToTheSmallestScenario() throws Exception {
        Scenario scenario = scenario("hands");
        Policy faulty = FaultyBalancer.policy(() -> new FaultyBalancer() {
            @Override
            public void onCordoned(long nowUs, Set<String> serverIds) {
                // Ignores the cordons.
            }
        });
        Violation violation = SimulatedRun.run(scenario, 3, faulty).violations().stream()
                .filter(v -> v.rule().equals("Cordons"))
                .findFirst()
                .orElseThrow();
        ScenarioShrinker.Result smallest =
                ScenarioShrinker.shrink(scenario, violation, smaller -> SimulatedRun.run(smaller, 3, faulty));
        assertEquals(
                List.of("cordoned"),
                smallest.scenario().faults().stream()
                        .map(Scenario.FaultSpec::kind)
                        .toList());
        assertEquals(1, smallest.scenario().fleet().nodes());
        assertTrue(smallest.scenario().lengthUs() < scenario.lengthUs() / 2);
        assertEquals("Cordons", smallest.violation().rule());
    }
}
