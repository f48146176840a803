package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import loadbalancer.net.SocketAddresses;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The decoder treats a tree (configuration file) and a stream (discovery service) of the same list identically. */
class EndpointListDecoderTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LIST = """
            {"rev":42,"all":true,"more":{"x":[1]},"targets":[
             {"uid":"a","endpoint":"10.0.0.1:80","az":"west","pod_group":7,"state":"Ready","capacity_hint":1.5,
              "boot_ms":1234,"model":"m"},
             {"uid":"b","endpoint":"[::1]:81","az":"nowhere","state":"Terminating"},
             {"uid":"c","endpoint":"unreadable","state":"Gone"}]}
            """;

    private final EndpointListDecoder decoder = new EndpointListDecoder(List.of("east", "west"));

    private EndpointList fromTree(String list) throws Exception {
        return decoder.decode(JSON.readTree(list));
    }

    private EndpointList fromStream(String list) throws Exception {
        try (JsonParser parser = JSON.createParser(list)) {
            return decoder.decode(parser);
        }
    }

    @Test
    void allFieldsAreDecodedAndMissingFieldsHaveDefaults() throws Exception {
        EndpointList list = fromTree(LIST);
        assertEquals(list, fromStream(LIST));
        assertEquals(42, list.version());
        assertEquals(true, list.full());
        assertEquals(
                new Endpoint(
                        new ServerEntry("a", 1, 7, ServerState.READY, 1.5, 1_234_000),
                        SocketAddresses.parseOrNull("10.0.0.1:80")),
                list.endpoints().get(0));
        assertEquals(
                new Endpoint(
                        new ServerEntry("b", -1, 0, ServerState.DRAINING, 1, 0),
                        SocketAddresses.parseOrNull("[::1]:81")),
                list.endpoints().get(1));
        assertEquals(ServerState.GONE, list.endpoints().get(2).server().state());
        assertNull(list.endpoints().get(2).address(), "address of a server that is gone");
    }

    @Test
    void fieldsAreDecodedInAnyOrder() throws Exception {
        String reversed = "{\"targets\":[{\"uid\":\"c\",\"state\":\"Gone\"}],\"all\":false,\"rev\":7}";
        assertEquals(fromTree(reversed), fromStream(reversed));
        assertEquals(7, fromStream(reversed).version());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"rev\":42 | \"rev\":\"x\" | rev is missing or not a whole number",
                "\"rev\":42, | '' | rev is missing or not a whole number",
                "\"targets\" | \"tergets\" | targets is missing or not a list",
                "\"uid\":\"b\" | \"id\":\"b\" | targets[1].uid is missing",
                "Terminating | Asleep | targets[1].state is unknown",
                "[::1]:81 | host.example:81 | targets[1].endpoint is not address:port: host.example:81",
                "10.0.0.1:80 | 10.0.0.1 | targets[0].endpoint is not address:port: 10.0.0.1",
            })
    void invalidFieldIsReportedByItsPath(String good, String bad, String message) {
        String list = LIST.replace(good, bad);
        assertEquals(
                message,
                assertThrows(InvalidEndpointListException.class, () -> fromTree(list))
                        .getMessage());
        assertEquals(
                message,
                assertThrows(InvalidEndpointListException.class, () -> fromStream(list))
                        .getMessage());
    }
}
