package loadbalancer.rig.scenario;

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

    private static List<String> faults(String toml, Map<String, String> overrides) {
        return assertThrows(BadScenarioException.class, () -> ScenarioFile.parse(toml, overrides, KINDS))
                .faults();
    }

    @Test
    void allFaultsAreToldAtOnceWithKeyValueAndWhatIsAllowed() {
        List<String> faults = faults("""
                name = ""
                lenght_s = 10
                [fleet]
                nodes = 0
                zones = ["a", "a"]
                [load]
                per_second = "many"
                [[trouble]]
                kind = "slwo"
                part = 1.5
                """, Map.of());
        assertEquals(
                List.of(
                        "name = \"\": must be a text",
                        "fleet.nodes = 0: must be a number from 1 to 10000",
                        "fleet.zones = [\"a\",\"a\"]: must be a list of different texts",
                        "load.per_second = \"many\": must be a number from 0.001 to 1000000",
                        "trouble[0].kind = \"slwo\": must be one of slow, vanish (meant: slow?)",
                        "trouble[0].part = 1.5: must be a number from 0 to 1",
                        "lenght_s = 10: is not known (meant: length_s?); keys here are class, clients, fleet,"
                                + " length_s, list,"
                                + " load, name, net, prices, rules, server, trouble"),
                faults);
    }

    @ParameterizedTest
    @CsvSource({"fleet.nodes, 2.5", "class.0.share, 1", "nothing.there.at.all.x, 1", "load.per_second, lots"})
    void anOverrideIsHeldToTheSame(String key, String value) {
        assertTrue(faults("name = \"x\"", Map.of(key, value)).get(0).contains(key.split("\\.")[0]));
    }

    @Test
    void overridesGoBeforeTheFileAndWhatIsLeftOutHasAValue() throws Exception {
        Scenario read = ScenarioFile.parse(
                "name = \"x\"\n[load]\nper_second = 5\n[[trouble]]\nkind = \"slow\"\n",
                Map.of("load.per_second", "7", "trouble.0.kind", "vanish", "net.client_ms", "2.5"),
                KINDS);
        assertEquals(7, read.load().perSecond());
        assertEquals("vanish", read.troubles().get(0).kind());
        assertEquals(2_500, read.net().clientUs());
        assertEquals(40_000_000, read.lengthUs());
        assertEquals(
                1,
                read.classes().stream()
                        .mapToDouble(Scenario.RequestClass::share)
                        .sum(),
                1e-9);
    }

    @Test
    void whatIsNoTomlIsToldWithItsLine() {
        assertTrue(faults("name = \"x\"\nlength_s = = 3\n", Map.of()).get(0).startsWith("line 2: no TOML"));
    }
}
