package loadbalancer.membership.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.zip.CRC32C;
import loadbalancer.membership.codec.BadFrameException.Reason;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Incarnation;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;
import loadbalancer.membership.core.MembershipActions;
import loadbalancer.membership.core.MembershipChange;
import loadbalancer.membership.core.MembershipMessage;
import loadbalancer.membership.core.MembershipProtocol;
import loadbalancer.membership.core.MembershipSettings;
import org.junit.jupiter.api.Test;

/** Frames decode to the encoded values, and bytes that are not a valid frame of this fleet are rejected. */
class MembershipCodecTest {
    private static final int FUZZED_DATAGRAMS = Integer.getInteger("loadbalancer.fuzzed", 1_000_000);
    private static final int MAX_MEMBERS = 50;

    /** Size that the protocol assumes for an update with the longest names, in bytes. */
    private static final int MAX_UPDATE_BYTES = 48 + 5 * 64;

    private final MembershipCodec codec = new MembershipCodec("here");

    private static String name(SplittableRandom random, int maxLength) {
        char[] name = new char[1 + random.nextInt(maxLength)];
        for (int i = 0; i < name.length; i++) {
            name[i] = (char) ('!' + random.nextInt(0x7f - '!'));
        }
        return new String(name);
    }

    private static Member member(SplittableRandom random, int maxLength) {
        return new Member(
                name(random, maxLength),
                name(random, maxLength),
                name(random, maxLength),
                name(random, maxLength),
                new Incarnation(random.nextLong(1L << 62), random.nextLong(1L << random.nextInt(1, 62))),
                MemberState.values()[random.nextInt(4)]);
    }

    private static MembershipMessage message(SplittableRandom random, int maxLength) {
        List<GossipUpdate> updates = new ArrayList<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            updates.add(new GossipUpdate(member(random, maxLength), name(random, maxLength)));
        }
        Member sender = member(random, maxLength);
        long sequence = random.nextLong(1L << 40);
        return switch (random.nextInt(5)) {
            case 0 -> new MembershipMessage.Ping(sequence, name(random, maxLength), sender, updates);
            case 1 -> new MembershipMessage.Ack(sequence, sender, updates);
            case 2 ->
                new MembershipMessage.PingRequest(
                        sequence, name(random, maxLength), name(random, maxLength), sender, updates);
            case 3 -> new MembershipMessage.Nack(sequence, sender, updates);
            default -> new MembershipMessage.Gossip(sender, updates);
        };
    }

    @Test
    void framesDecodeToWhatWasEncoded() throws Exception {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 2_000; i++) {
            MembershipMessage message = message(random, 64);
            assertEquals(message, codec.decode(codec.encode(message)));
            assertEquals(message.updates(), codec.decodeState(codec.encodeState(message.updates())));
        }
        MembershipView view =
                new MembershipView(7, -3, 2, member(random, 64), List.of(member(random, 64)), Map.of("a", 1L));
        assertEquals(view, MembershipCodec.ofAnyFleet().decodeView(codec.encodeView(view)));
    }

    /**
     * Guards against messages that are never delivered because the datagram is too long for the network. The largest
     * message must fit, and an encoded update must not be larger than the protocol assumes.
     */
    @Test
    void longestNamesFitIntoADatagram() {
        String longest = "x".repeat(64);
        Member member =
                new Member(longest, longest, longest, longest, new Incarnation(1L << 62, 1L << 62), MemberState.LEFT);
        GossipUpdate update = new GossipUpdate(member, longest);
        List<GossipUpdate> updates = new ArrayList<>();
        for (int bytes = MAX_UPDATE_BYTES;
                bytes <= MembershipSettings.MAX_GOSSIP_BUDGET_BYTES;
                bytes += MAX_UPDATE_BYTES) {
            updates.add(update);
        }
        int length = new MembershipCodec(longest)
                .encode(new MembershipMessage.PingRequest(1L << 62, longest, longest, member, updates))
                .length;
        assertTrue(length <= MembershipCodec.MAX_DATAGRAM_BYTES, "bytes: " + length);
        int updateBytes = codec.encode(new MembershipMessage.Gossip(member, List.of(update, update))).length
                - codec.encode(new MembershipMessage.Gossip(member, List.of(update))).length;
        assertTrue(updateBytes <= MAX_UPDATE_BYTES, "bytes of an update: " + updateBytes);
    }

    private Reason reason(byte[] frame) {
        return assertThrows(BadFrameException.class, () -> codec.decode(frame)).reason();
    }

    /** Frames of another fleet, protocol or version and damaged frames are each rejected with their own reason. */
    @Test
    void badFramesAreRejectedWithTheirReason() {
        byte[] frame = codec.encode(message(new SplittableRandom(2), 10));
        assertEquals(
                Reason.FOREIGN_FLEET,
                reason(new MembershipCodec("there").encode(message(new SplittableRandom(2), 10))));
        assertEquals(Reason.BAD_MAGIC, reason("GET / HTTP/1.1\r\n\r\n".getBytes()));
        assertEquals(Reason.BAD_MAGIC, reason(new byte[0]));
        assertEquals(Reason.CHECKSUM_MISMATCH, reason(Arrays.copyOf(frame, frame.length - 1)));
        byte[] unsupported = frame.clone();
        unsupported[2]++;
        assertEquals(Reason.UNSUPPORTED_VERSION, reason(withChecksum(unsupported)));
        assertEquals(Reason.MALFORMED, reason(codec.encodeState(List.of())));
        assertEquals(Reason.MALFORMED, reason(withChecksum(Arrays.copyOf(frame, frame.length + 1))));
    }

    /** Guards against accepting a frame in which one bit was flipped on the network, at any position. */
    @Test
    void everyFlippedBitIsDetected() {
        byte[] frame = codec.encode(message(new SplittableRandom(3), 20));
        for (int bit = 0; bit < frame.length * 8; bit++) {
            byte[] flipped = frame.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(BadFrameException.class, () -> codec.decode(flipped), "bit " + bit);
        }
    }

    /** Writes a valid checksum into the frame, so that later checks of the decoder are reached. */
    private static byte[] withChecksum(byte[] frame) {
        if (frame.length >= 8) {
            CRC32C sum = new CRC32C();
            sum.update(frame, 2, 2);
            sum.update(frame, 8, frame.length - 8);
            ByteBuffer.wrap(frame).putInt(4, (int) sum.getValue());
        }
        return frame;
    }

    private static byte[] corrupt(byte[] frame, byte[] other, SplittableRandom random) {
        byte[] corrupted = switch (random.nextInt(4)) {
            case 0 -> Arrays.copyOf(frame, random.nextInt(frame.length));
            case 1 -> Arrays.copyOf(frame, frame.length + random.nextInt(2_000));
            case 2 -> {
                byte[] spliced = frame.clone();
                int from = random.nextInt(frame.length);
                System.arraycopy(other, 0, spliced, from, Math.min(other.length, frame.length - from));
                yield spliced;
            }
            default -> frame.clone();
        };
        for (int i = random.nextInt(4); i > 0 && corrupted.length > 0; i--) {
            corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
        }
        return random.nextInt(8) == 0 ? corrupted : withChecksum(corrupted);
    }

    /** Records the last message sent and ignores all other actions. */
    private static final class RecordingActions implements MembershipActions {
        private MembershipMessage lastSent;

        @Override
        public void send(String address, MembershipMessage message) {
            lastSent = message;
        }

        @Override
        public void startStateSync(String address) {
            // No peer to sync with.
        }

        @Override
        public void onChange(MembershipChange change) {
            // The test checks the state of the protocol instead.
        }

        @Override
        public void onRoundTrip(long us) {
            // Not checked.
        }

        @Override
        public void scheduleWake(long atUs) {
            // The test calls onWake itself.
        }
    }

    /**
     * Guards against damage by corrupted input: a process receives a million corrupted datagrams (the default), many of
     * them with a valid checksum. It must drop frames that it cannot decode, keep no more members than allowed, and
     * still send an ack for a ping afterwards unless it has yielded its name.
     */
    @Test
    void protocolSurvivesCorruptedDatagrams() throws Exception {
        SplittableRandom random = new SplittableRandom(4);
        MembershipSettings settings = MembershipSettings.builder("me", "127.0.0.1:1", "z", "node", List.of())
                .maxMembers(MAX_MEMBERS)
                .build();
        RecordingActions actions = new RecordingActions();
        MembershipProtocol protocol = new MembershipProtocol(settings, 1, 1L << 62, actions);
        protocol.start(0);
        Map<Reason, Integer> dropped = new EnumMap<>(Reason.class);
        int accepted = 0;
        byte[] frame = codec.encode(message(random, 12));
        for (int i = 0; i < FUZZED_DATAGRAMS; i++) {
            byte[] other = frame;
            frame = i % 16 == 0 ? codec.encode(message(random, 12)) : frame;
            try {
                MembershipMessage message = codec.decode(corrupt(frame, other, random));
                accepted++;
                protocol.onMessage(i * 1_000L, message);
            } catch (BadFrameException e) {
                dropped.merge(e.reason(), 1, Integer::sum);
            }
            if (i % 100 == 0) {
                protocol.onWake(i * 1_000L);
            }
        }
        assertTrue(
                accepted > FUZZED_DATAGRAMS / 100 && dropped.size() == Reason.values().length,
                accepted + " accepted, dropped " + dropped);
        assertTrue(
                protocol.stateSnapshot().size() <= MAX_MEMBERS,
                "members: " + protocol.stateSnapshot().size());
        Member sender = new Member("sender", "127.0.0.1:2", "z", "node", new Incarnation(1, 0), MemberState.ALIVE);
        protocol.onMessage(FUZZED_DATAGRAMS * 1_000L, new MembershipMessage.Ping(77, "me", sender, List.of()));
        assertTrue(
                protocol.isEnded() || actions.lastSent instanceof MembershipMessage.Ack ack && ack.sequence() == 77,
                "no ack: " + actions.lastSent);
        assertArrayEquals(codec.encode(actions.lastSent), codec.encode(codec.decode(codec.encode(actions.lastSent))));
    }
}
