package loadbalancer.process;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node with the memory limits of production receives a long endpoint list. */
class LargeListTest {
    private static final String HEAP = "-Xmx64m";

    /** Returns an entry with all fields that discovery sends. */
    private static String entry(int server, String endpoint) {
        return "{\"uid\":\"s-%08x\",\"endpoint\":\"%s\",\"az\":\"here\",\"model\":\"m2\",\"pod_group\":%d,"
                        .formatted(server, endpoint, server % 40)
                + "\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":1764600000000}";
    }

    private static String fullList(int servers, String endpoint) {
        StringBuilder list = new StringBuilder("{\"rev\":2,\"all\":true,\"targets\":[");
        for (int i = 0; i < servers; i++) {
            list.append(i == 0 ? "" : ",").append(entry(i, endpoint));
        }
        return list.append("]}").toString();
    }

    @ParameterizedTest
    @ValueSource(ints = {1_024, 5_000, 19_000})
    void aNodeServesBeforeAndAfterALongListArrives(int servers, @TempDir Path folder) throws Exception {
        try (FakeServer server = FakeServer.respondingWith("x");
                FakeServer discovery = new FakeServer((request, peer) -> peer.write(NodeHarness.watchResponseHead()))) {
            String known = NodeHarness.endpointList(1, true, "s0=" + server.endpoint() + "=Ready");
            Process program = start(folder, discovery.endpoint(), known);
            try {
                String listening =
                        NodeProgram.awaitLine(program, line -> line.startsWith("level=info event=listening "));
                int port = Integer.parseInt(listening.substring(listening.lastIndexOf(':') + 1));
                assertEquals(200, sendRequest(port, "before"));
                String list = fullList(servers, server.endpoint());
                FakeServer.awaitNext(discovery.respondedConnections).write(NodeHarness.chunk(list + "\n"));
                NodeProgram.awaitLine(
                        program,
                        line -> line.endsWith("event=endpoint_list version=2 kind=full first_of_watch=true ready="
                                + servers + " draining=0 gone=0"));
                for (int i = 0; i < 20; i++) {
                    assertEquals(200, sendRequest(port, "after" + i));
                }
            } finally {
                program.destroyForcibly();
            }
        }
    }

    private static Process start(Path folder, String discovery, String known) throws IOException {
        Path config = Files.writeString(folder.resolve("config.json"), """
                {"listen":"127.0.0.1:0","discovery":"%s","seed":"1","limits":{"sockets":256},"known":%s,
                 "settings":{"balancers":1200,"zones":["here"],"membershipMode":"pushed",
                 "limits":{"attemptsCap":4},
                 "classes":[{"name":"page","onTimeUs":60000000,"giveUpUs":60000000,"repeat":"safe"}]}}
                """.formatted(discovery, known));
        return NodeProgram.start(
                Map.of("PROXY_CONFIG", config.toString()),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                HEAP,
                "-Xss256k",
                "-XX:MaxDirectMemorySize=16m",
                "-XX:+ExitOnOutOfMemoryError");
    }

    private static int sendRequest(int port, String txn) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(60_000);
            NodeHarness.write(socket, Http.pageRequest("/api/p", txn, "60000m"));
            return Http.readMessage(socket.getInputStream()).status();
        }
    }
}
