package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MembersConfigTest {

    private static MembersConfig read(String json) throws Exception {
        return MembersConfig.read(new ObjectMapper().readTree(json.replace('\'', '"')), "n1");
    }

    @Test
    void whatIsLeftOutFollowsFromThePeriod() throws Exception {
        MembersConfig config =
                read("{'name':'f','bind':'127.0.0.1:7946','seeds':['127.0.0.2:7946']," + "'periodMs':200}");
        assertEquals("n1", config.settings().name());
        assertEquals("127.0.0.1:7946", config.settings().address());
        assertEquals(80_000, config.settings().answerUs());
        assertEquals(6_000_000, config.settings().syncUs());
        assertEquals(List.of("127.0.0.2:7946"), config.settings().seeds());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'bind':'127.0.0.1:1'} | fleet.name is missing",
                "{'name':'f'} | fleet.bind is missing",
                "{'name':'f g','bind':'127.0.0.1:1'} | fleet.name = f g: must be 1 to 64 characters of ASCII",
                "{'name':'f','bind':'localhost:1'} | fleet.bind = localhost:1: must be address:port",
                "{'name':'f','bind':'127.0.0.1:0'} | fleet.bind = 127.0.0.1:0: must be address:port, with a port",
                "{'name':'f','bind':'10.0.0.1:1'} | fleet.bind = 10.0.0.1:1: must be a loopback address, or",
                "{'name':'f','bind':'127.0.0.1:1','seeds':['x']} | fleet.seeds = x: must be a list of address:port",
                "{'name':'f','bind':'127.0.0.1:1','periodMs':0} | fleet.periodMs = 0: must be a whole number of",
                "{'name':'f','bind':'127.0.0.1:1','answerMs':1000} | fleet.answerMs = 1000: must be above 0",
                "{'name':'f','bind':'127.0.0.1:1','askers':101} | fleet.askers = 101: must be 0 to 100",
                "{'name':'f','bind':'127.0.0.1:1','perodMs':5} | fleet.perodMs = 5: is not known; keys here are",
                "[] | fleet = []: must be an object"
            })
    void aBadOneNamesKeyValueAndWhatIsAllowed(String json, String told) {
        String message =
                assertThrows(IllegalArgumentException.class, () -> read(json)).getMessage();
        assertTrue(message.startsWith(told), message);
    }

    @Test
    void beyondLoopbackOnlyWhereTheFileSaysSo() throws Exception {
        assertEquals(
                "10.0.0.1:7946",
                read("{'name':'f','bind':'10.0.0.1:7946','beyondLoopback':true}")
                        .settings()
                        .address());
    }
}
