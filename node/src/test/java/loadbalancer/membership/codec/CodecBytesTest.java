package loadbalancer.membership.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Incarnation;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;
import loadbalancer.membership.core.MembershipMessage;
import org.junit.jupiter.api.Test;

/** Pins the bytes of each frame, because processes of two versions run side by side. */
class CodecBytesTest {
    private final MembershipCodec codec = new MembershipCodec("fleet");
    private final Member self =
            new Member("n1", "127.0.0.1:7001", "z1", "node", new Incarnation(5, 1), MemberState.values()[0]);
    private final List<GossipUpdate> updates = List.of(
            new GossipUpdate(
                    new Member("n2", "127.0.0.1:7002", "z2", "node", new Incarnation(6, 300), MemberState.values()[1]),
                    "n1"),
            new GossipUpdate(
                    new Member("n3", "127.0.0.1:7003", "z1", "node", new Incarnation(7, 0), MemberState.values()[2]),
                    "n3"));

    private static void assertBytes(String hex, byte[] frame) {
        assertEquals(hex, HexFormat.of().formatHex(frame));
    }

    @Test
    void ping() {
        assertBytes(
                "4b4d01000b1951ad9f65666c65657411626e32626e316e3132372e302e302e313a3730303162"
                        + "7a31646e6f64650501009f626e326e3132372e302e302e313a37303032627a32646e6f646506"
                        + "19012c01626e31626e336e3132372e302e302e313a37303033627a31646e6f6465070002626e" + "33ffff",
                codec.encode(new MembershipMessage.Ping(17, "n2", self, updates)));
    }

    @Test
    void ack() {
        assertBytes(
                "4b4d0101797cae169f65666c65657411626e316e3132372e302e302e313a37303031627a3164"
                        + "6e6f64650501009f626e326e3132372e302e302e313a37303032627a32646e6f64650619012c"
                        + "01626e31626e336e3132372e302e302e313a37303033627a31646e6f6465070002626e33ffff",
                codec.encode(new MembershipMessage.Ack(17, self, updates)));
    }

    @Test
    void pingRequest() {
        assertBytes(
                "4b4d0102e1cba3cb9f65666c65657412626e326e3132372e302e302e313a37303032626e316e"
                        + "3132372e302e302e313a37303031627a31646e6f64650501009f626e326e3132372e302e302e"
                        + "313a37303032627a32646e6f64650619012c01626e31626e336e3132372e302e302e313a3730"
                        + "3033627a31646e6f6465070002626e33ffff",
                codec.encode(new MembershipMessage.PingRequest(18, "n2", "127.0.0.1:7002", self, updates)));
    }

    @Test
    void gossip() {
        assertBytes(
                "4b4d0103c2c6d4fa9f65666c656574626e316e3132372e302e302e313a37303031627a31646e"
                        + "6f64650501009f626e326e3132372e302e302e313a37303032627a32646e6f64650619012c01"
                        + "626e31626e336e3132372e302e302e313a37303033627a31646e6f6465070002626e33ffff",
                codec.encode(new MembershipMessage.Gossip(self, updates)));
    }

    @Test
    void nack() {
        assertBytes(
                "4b4d0104622a604f9f65666c65657412626e316e3132372e302e302e313a37303031627a3164" + "6e6f64650501009fffff",
                codec.encode(new MembershipMessage.Nack(18, self, List.of())));
    }

    @Test
    void state() {
        assertBytes(
                "4b4d0105f2a1e3bc9f65666c6565749f626e326e3132372e302e302e313a37303032627a3264"
                        + "6e6f64650619012c01626e31626e336e3132372e302e302e313a37303033627a31646e6f6465"
                        + "070002626e33ffff",
                codec.encodeState(updates));
    }

    @Test
    void viewRequest() {
        assertBytes("4b4d010623e32dd99f60ff", MembershipCodec.ofAnyFleet().encodeViewRequest());
    }

    @Test
    void view() {
        Map<String, Long> metrics = new LinkedHashMap<>();
        metrics.put("members_alive", 2L);
        metrics.put("members_dead", 0L);
        assertBytes(
                "4b4d0107d84a72379f65666c6565740328019f6d6d656d626572735f616c697665026c6d656d"
                        + "626572735f6465616400ff626e316e3132372e302e302e313a37303031627a31646e6f646505"
                        + "01009f626e326e3132372e302e302e313a37303032627a32646e6f64650619012c01626e3262"
                        + "6e336e3132372e302e302e313a37303033627a31646e6f6465070002626e33ffff",
                codec.encodeView(new MembershipView(
                        3,
                        -9,
                        1,
                        self,
                        updates.stream().map(GossipUpdate::member).toList(),
                        metrics)));
    }

    /** The ordinal of a type is its number on the wire. */
    @Test
    void ordinalsOfFrameTypesAreUnchanged() {
        assertEquals(
                "[PING, ACK, PING_REQUEST, GOSSIP, NACK, STATE, VIEW_REQUEST, VIEW]",
                List.of(FrameType.values()).toString());
    }

    /** The ordinal of a state is its number on the wire. */
    @Test
    void ordinalsOfMemberStatesAreUnchanged() {
        assertEquals(
                "[ALIVE, SUSPECT, DEAD, LEFT]", List.of(MemberState.values()).toString());
    }
}
