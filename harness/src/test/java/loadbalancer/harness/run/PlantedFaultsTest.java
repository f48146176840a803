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

/** Faults planted in the module, each of which the referee has to catch on a scenario that meets it. */
class PlantedFaultsTest {

    private record Fault(String what, String rule, String scenario, Supplier<Planted> planted) {}

    /** One of the project's, with the overrides that follow its name: {@code jam load.per_second=9}. */
    static Scenario scenario(String name) throws Exception {
        Map<String, String> overrides = new TreeMap<>();
        String[] words = name.split("[ =]");
        for (int i = 1; i < words.length; i += 2) {
            overrides.put(words[i], words[i + 1]);
        }
        return ScenarioFile.read(Path.of("scenarios", words[0] + ".toml"), overrides, Faults.names());
    }

    private static boolean isUnsafe(Planted at, long request) {
        return at.settings.classes.get(at.held.get(request).classIndex()).idempotency() == Idempotency.NON_IDEMPOTENT;
    }

    private static Stream<Fault> faults() {
        return Stream.of(
                new Fault("a drain taken for ready", "Drains", "herd", () -> new Planted() {
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
                new Fault("changes of the list never heeded", "Drains", "hands", () -> new Planted() {
                    @Override
                    public void onServers(long nowUs, ListKind kind, List<ServerEntry> entries) {
                        if (kind != ListKind.CHANGES) {
                            super.onServers(nowUs, kind, entries);
                        }
                    }
                }),
                new Fault("a cordon forgotten", "Cordons", "hands", () -> new Planted() {
                    @Override
                    public void onCordoned(long nowUs, Set<String> serverIds) {
                        super.onCordoned(nowUs, Set.of());
                    }
                }),
                new Fault("an answer lost", "OneAnswer", "jam", () -> new Planted() {
                    @Override
                    public void fail(long requestId) {
                        if (requestId % 3 > 0) {
                            super.fail(requestId);
                        }
                    }
                }),
                new Fault("an answer kept for too long", "OneAnswer", "jam", () -> new Planted() {
                    private final List<Long> kept = new ArrayList<>();

                    @Override
                    public void reject(long requestId, long retryAfterUs) {
                        kept.add(requestId);
                    }

                    @Override
                    public void onWake(long nowUs) {
                        super.onWake(nowUs);
                        kept.removeIf(id -> {
                            boolean late = held.get(id).remainingUs() > 0 && nowUs % 97 == 0;
                            if (late) {
                                out.reject(id, 0);
                            }
                            return late;
                        });
                    }
                }),
                new Fault("a refusal of what may have run", "Repeats", "jam", () -> new Planted() {
                    @Override
                    public void fail(long requestId) {
                        super.reject(requestId, 0);
                    }
                }),
                new Fault("a repeat too many", "Repeats", "jam", () -> new Planted() {
                    @Override
                    public void onOutcome(long nowUs, AttemptOutcome outcome) {
                        if (outcome.result() == AttemptResult.ERROR
                                && isUnsafe(this, outcome.requestId())
                                && !outcome.requestEnded()) {
                            out.send(outcome.requestId(), another(sentTo.get(outcome.requestId())), 0, 0);
                        }
                        super.onOutcome(nowUs, outcome);
                    }
                }),
                new Fault("a second copy of an unsafe request", "Repeats", "calm", () -> new Planted() {
                    @Override
                    public void send(long requestId, String serverId, long beginByUs, long untilUs) {
                        super.send(requestId, serverId, beginByUs, untilUs);
                        if (isUnsafe(this, requestId)) {
                            out.send(requestId, another(serverId), beginByUs, untilUs);
                        }
                    }
                }),
                new Fault("more attempts than allowed", "Repeats", "jam rules.max_attempts=1", () -> new Planted() {
                    @Override
                    BalancerSettings given(BalancerSettings told) {
                        BalancerSettings more = new BalancerSettings();
                        more.nodes = told.nodes;
                        more.nodeIndex = told.nodeIndex;
                        more.zones.addAll(told.zones);
                        more.classes.addAll(told.classes);
                        more.maxAttempts = told.maxAttempts + 4;
                        return more;
                    }
                }),
                new Fault("cold servers flooded", "ColdServers", "herd", () -> new Planted() {
                    @Override
                    public void send(long requestId, String serverId, long beginByUs, long untilUs) {
                        String coldest = listed.values().stream()
                                .filter(e -> e.state() == ServerState.READY && e.startedAtUs() > 0)
                                .max((a, b) -> Long.compare(a.startedAtUs(), b.startedAtUs()))
                                .map(ServerEntry::id)
                                .orElse(serverId);
                        super.send(requestId, coldest, beginByUs, untilUs);
                    }
                }));
    }

    @TestFactory
    Stream<DynamicTest> theRefereeCatchesEach() {
        return faults().map(fault -> DynamicTest.dynamicTest(fault.what, () -> {
            Scenario scenario = scenario(fault.scenario);
            List<Violation> found =
                    SimulatedRun.run(scenario, 1, Planted.policy(fault.planted)).violations();
            assertTrue(
                    found.stream().anyMatch(v -> v.rule().equals(fault.rule)),
                    fault.rule + " not among "
                            + found.stream().map(Violation::rule).toList());
            assertFalse(found.get(0).events().isEmpty());
        }));
    }

    @Test
    void unmodifiedBalancerKeepsTheRulesOnTheSameScenarios() throws Exception {
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
        Policy faulty = Planted.policy(() -> new Planted() {
            @Override
            public void onCordoned(long nowUs, Set<String> serverIds) {
                // Forgotten.
            }
        });
        Violation found = SimulatedRun.run(scenario, 3, faulty).violations().stream()
                .filter(v -> v.rule().equals("Cordons"))
                .findFirst()
                .orElseThrow();
        ScenarioShrinker.Result least =
                ScenarioShrinker.shrink(scenario, found, lesser -> SimulatedRun.run(lesser, 3, faulty));
        assertEquals(
                List.of("cordoned"),
                least.scenario().faults().stream().map(Scenario.FaultSpec::kind).toList());
        assertEquals(1, least.scenario().fleet().nodes());
        assertTrue(least.scenario().lengthUs() < scenario.lengthUs() / 2);
        assertEquals("Cordons", least.violation().rule());
    }
}
