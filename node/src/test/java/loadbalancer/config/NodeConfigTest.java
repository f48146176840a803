package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.Main;
import loadbalancer.discovery.Endpoint;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.ServerState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading the configuration of a node from its environment and its configuration file. */
class NodeConfigTest {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:8000","az":"b",
              "model":"m","pod_group":3,"state":"Terminating","capacity_hint":1.5,"boot_ms":1234}]},
             "settings":{"balancers":2,"me":1,"zones":["a","b"],"myZone":"b","membershipMode":"on_request",
              "limits":{"attemptsCap":4,"connIdleUs":60000000,"dialTimeoutUs":50000,"cancelling":true,
               "retryAfter":true,"maxRetryAfterUs":1000000},
              "rules":{"coldFrom":0.12},"realms":[{"name":"school-a","quotaPerS":85.0}],
              "classes":[{"name":"photo","onTimeUs":200000,"giveUpUs":600000,"repeat":"keyed","group":"cell",
               "windowUs":1200000,"importance":5.0}]}}
            """;

    @TempDir
    private Path folder;

    private NodeConfig read(String config, Map<String, String> extraEnvironment) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        Map<String, String> env = new HashMap<>(extraEnvironment);
        env.put("PROXY_CONFIG", file.toString());
        return NodeConfigReader.read(env);
    }

    @Test
    void allValuesOfTheFileAreRead() throws Exception {
        NodeConfig config = read(CONFIG, Map.of());
        assertEquals(8000, config.listenAddress().getPort());
        assertEquals(8500, config.discoveryAddress().getPort());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(1024, config.maxSockets());
        assertEquals(60_000_000, config.serverIdleTimeoutUs());
        assertEquals(2, config.settings().nodes);
        assertEquals(1, config.settings().nodeIndex);
        assertEquals(List.of("a", "b"), config.settings().zones);
        assertEquals(1, config.settings().localZone);
        assertEquals(50_000, config.settings().connectTimeoutUs);
        assertEquals(1_000_000, config.settings().maxRetryAfterUs);
        assertEquals(0.12, config.settings().warmUpInitialShare);
        assertTrue(config.settings().pollsEndpointList);
        assertEquals(
                Idempotency.IDEMPOTENT_WITH_KEY,
                config.settings().classes.get(0).idempotency());
        assertEquals(DeduplicationScope.CELL, config.settings().classes.get(0).deduplicationScope());
        assertEquals("school-a", config.settings().tenants.get(0).name());
        Endpoint endpoint = config.initialEndpoints().endpoints().get(0);
        assertEquals(
                "10.1.0.18:8000",
                endpoint.address().getHostString() + ":" + endpoint.address().getPort());
        assertEquals(1, endpoint.server().zone());
        assertEquals(3, endpoint.server().cell());
        assertEquals(ServerState.DRAINING, endpoint.server().state());
        assertEquals(1_234_000, endpoint.server().startedAtUs());
    }

    @Test
    void addressesInTheEnvironmentOverrideTheFile() throws Exception {
        NodeConfig config = read(CONFIG, Map.of("PROXY_LISTEN", "127.0.0.7:81", "PROXY_DISCOVERY", "127.0.0.8:82"));
        assertEquals("127.0.0.7", config.listenAddress().getHostString());
        assertEquals(82, config.discoveryAddress().getPort());
    }

    @Test
    void operationsAreConfiguredOnlyIfTheirVariablesAreSet() throws Exception {
        NodeConfig plain = read(CONFIG, Map.of("TMPDIR", ""));
        assertEquals(OperationsConfig.NONE, plain.operations());
        assertEquals(Integer.MAX_VALUE, plain.settings().maxOpen);
        NodeConfig file = read(CONFIG.replace("\"seed\"", "\"control\":\"127.0.0.3:9\",\"seed\""), Map.of());
        assertEquals(9, file.operations().controlAddress().getPort());
        NodeConfig operated = read(
                CONFIG, Map.of("TMPDIR", folder.toString(), "PROXY_CONTROL", "127.0.0.2:9800", "PROXY_SOCKET_FD", "0"));
        assertEquals(9800, operated.operations().controlAddress().getPort());
        assertEquals(folder, operated.operations().sharedFolder());
        assertTrue(operated.operations().inheritsListener());
        assertEquals(170, operated.settings().maxOpen, "a sixth of 1,024");
        for (Map<String, String> bad : List.of(Map.of("PROXY_CONTROL", "9800"), Map.of("PROXY_SOCKET_FD", "3"))) {
            ConfigException e = assertThrows(ConfigException.class, () -> read(CONFIG, bad));
            String value = bad.values().iterator().next();
            assertTrue(e.getMessage().endsWith(": " + value), e.getMessage());
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "127.0.0.1:8000 | nowhere | listen",
                "127.0.0.1:8500 | host.example:8500 | discovery",
                "8c1f30d27a5be964 | xyz | seed",
                "\"sockets\":1024 | \"sockets\":\"many\" | limits.sockets",
                "\"onTimeUs\":200000, | '' | settings.classes.0.onTimeUs",
                "\"keyed\" | \"never\" | settings.classes.0.repeat",
                "\"me\":1 | \"me\":2 | settings: me",
                "\"rev\":41 | \"rev\":\"x\" | known.rev",
                "Terminating | Asleep | known.targets[0].state",
                "\"settings\":{ | \"sittings\":{ | settings",
            })
    void invalidValueIsReportedByItsKey(String good, String bad, String field) {
        ConfigException e = assertThrows(ConfigException.class, () -> read(CONFIG.replace(good, bad), Map.of()));
        assertTrue(e.getMessage().startsWith(field + " "), e.getMessage());
        assertTrue(e.getMessage().startsWith(e.key() + " "), e.getMessage());
    }

    @Test
    void missingFileEndsTheProgramWithOneLineAndExitCode2() throws Exception {
        String java = ProcessHandle.current().info().command().orElseThrow();
        ProcessBuilder builder =
                new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), Main.class.getName(), "node");
        builder.environment().put("PROXY_CONFIG", folder.resolve("none.json").toString());
        Process process = builder.start();
        String standardError = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(2, process.exitValue());
        assertEquals(1, standardError.lines().count(), standardError);
        assertTrue(standardError.contains("PROXY_CONFIG"), standardError);
    }
}
