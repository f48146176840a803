package loadbalancer.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.membership.MembershipConfig;
import loadbalancer.membership.MembershipService;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Verifies each column and key of the output of {@code fleet members}, because scripts of operators read them. */
class FleetMembersTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        CommandLine command = Main.commandLine();
        command.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        return command.execute(arguments);
    }

    @Test
    void printsAllColumnsAndKeysForASingleMember() throws Exception {
        String address;
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + any.getLocalPort();
        }
        MembershipService member = MembershipService.join(MembershipConfig.read(
                new ObjectMapper().valueToTree(Map.of("name", "f", "bind", address, "zone", "a")), "n1"));
        try {
            int code = run("fleet", "members", address);
            for (int i = 0; i < 100 && code != 0; i++) {
                Thread.sleep(100);
                out.getBuffer().setLength(0);
                code = run("fleet", "members", address);
            }
            assertEquals(0, code);
            List<String> lines = out.toString().lines().toList();
            assertTrue(
                    lines.get(0)
                            .matches("n1 at " + address
                                    + ": 1 live, view version 0, digest [0-9a-f]{16}, local health score 0"),
                    lines.get(0));
            assertTrue(
                    lines.get(1)
                            .matches(String.format("  %-24s %-24s zone a          role node       ", "n1", address)
                                    + "alive [0-9]+\\.0"),
                    lines.get(1));
            assertEquals(
                    List.of(
                            "datagrams_sent",
                            "datagram_bytes_sent",
                            "datagrams_received",
                            "datagram_bytes_received",
                            "exchanges",
                            "exchanges_failed"),
                    lines.subList(2, 8).stream()
                            .map(line -> line.strip().split(" ")[0])
                            .toList());
            out.getBuffer().setLength(0);
            assertEquals(0, run("fleet", "members", "--json", address));
            JsonNode view = new ObjectMapper().readTree(out.toString());
            assertEquals(List.of("address", "version", "digest", "health", "members", "figures"), names(view));
            assertEquals(
                    List.of("name", "address", "zone", "role", "state", "birth", "count"),
                    names(view.path("members").path(0)));
        } finally {
            member.leave();
        }
    }

    private static List<String> names(JsonNode tree) {
        List<String> names = new ArrayList<>();
        tree.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
