package loadbalancer.harness.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioFileTest {
    private static final List<String> KINDS = List.of("slow", "vanish");

    private static List<String> problems(String toml, Map<String, String> overrides) {
        return assertThrows(BadScenarioException.class, () -> ScenarioFile.parse(toml, overrides, KINDS))
                .problems();
    }

    @Test
    void allProblemsAreReportedAtOnceWithKeyValueAndWhatIsAllowed() {
        List<String> problems = problems("""
                name = ""
                lenght_s = 10
                [fleet]
                nodes = 0
                zones = ["a", "a"]
                [load]
                per_second = "many"
                [[fault]]
                kind = "slwo"
                part = 1.5
                """, Map.of());
        assertEquals(
                List.of(
                        "name = \"\": must be a string",
                        "fleet.nodes = 0: must be a number from 1 to 10000",
                        "fleet.zones = [\"a\",\"a\"]: must be a list of distinct strings",
                        "load.per_second = \"many\": must be a number from 0.001 to 1000000",
                        "fault[0].kind = \"slwo\": must be one of slow, vanish (meant: slow?)",
                        "fault[0].part = 1.5: must be a number from 0 to 1",
                        "lenght_s = 10: is not known (meant: length_s?); keys here are class, clients, fault, fleet,"
                                + " length_s, list,"
                                + " load, name, net, prices, rules, server"),
                problems);
    }

    @ParameterizedTest
    @CsvSource({"fleet.nodes, 2.5", "class.0.share, 1", "nothing.there.at.all.x, 1", "load.per_second, lots"})
    void overridesAreCheckedLikeTheFile(String key, String value) {
        assertTrue(problems("name = \"x\"", Map.of(key, value)).get(0).contains(key.split("\\.")[0]));
    }

    @Test
    void overridesWinOverTheFileAndMissingKeysHaveDefaults() throws Exception {
        Scenario read = ScenarioFile.parse(
                "name = \"x\"\n[load]\nper_second = 5\n[[fault]]\nkind = \"slow\"\n",
                Map.of("load.per_second", "7", "fault.0.kind", "vanish", "net.client_ms", "2.5"),
                KINDS);
        assertEquals(7, read.load().perSecond());
        assertEquals("vanish", read.faults().get(0).kind());
        assertEquals(2_500, read.net().clientUs());
        assertEquals(40_000_000, read.lengthUs());
        assertEquals(
                1,
                read.classes().stream()
                        .mapToDouble(Scenario.RequestClass::share)
                        .sum(),
                1e-9);
    }

    /** Stored files and recorded commands use the former key of the tables of faults, which must stay readable. */
    @Test
    void formerKeyOfFaultsIsRead() throws Exception {
        Scenario read = ScenarioFile.parse(
                "name = \"x\"\n[[trouble]]\nkind = \"slow\"\nsize = 2\n", Map.of("trouble.0.size", "4"), KINDS);
        assertEquals("slow", read.faults().get(0).kind());
        assertEquals(4, read.faults().get(0).size());
        assertTrue(problems("name = \"x\"\n[[trouble]]\nkind = \"slwo\"\n", Map.of())
                .get(0)
                .startsWith("fault[0].kind = \"slwo\""));
    }

    @Test
    void invalidTomlIsReportedWithItsLine() {
        assertTrue(problems("name = \"x\"\nlength_s = = 3\n", Map.of()).get(0).startsWith("line 2: not valid TOML"));
    }
}
