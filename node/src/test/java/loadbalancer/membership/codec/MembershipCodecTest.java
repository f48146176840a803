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

class MembershipCodecTest {
    private static final int FUZZED = Integer.getInteger("loadbalancer.fuzzed", 1_000_000);
    private static final int MOST_HELD = 50;

    private final MembershipCodec codec = new MembershipCodec("here");

    private static String name(SplittableRandom random, int most) {
        char[] name = new char[1 + random.nextInt(most)];
        for (int i = 0; i < name.length; i++) {
            name[i] = (char) ('!' + random.nextInt(0x7f - '!'));
        }
        return new String(name);
    }

    private static Member member(SplittableRandom random, int most) {
        return new Member(
                name(random, most),
                name(random, most),
                name(random, most),
                name(random, most),
                new Incarnation(random.nextLong(1L << 62), random.nextLong(1L << random.nextInt(1, 62))),
                MemberState.values()[random.nextInt(4)]);
    }

    private static MembershipMessage message(SplittableRandom random, int most) {
        List<GossipUpdate> updates = new ArrayList<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            updates.add(new GossipUpdate(member(random, most), name(random, most)));
        }
        Member from = member(random, most);
        long number = random.nextLong(1L << 40);
        return switch (random.nextInt(5)) {
            case 0 -> new MembershipMessage.Ping(number, name(random, most), from, updates);
            case 1 -> new MembershipMessage.Ack(number, from, updates);
            case 2 -> new MembershipMessage.PingRequest(number, name(random, most), name(random, most), from, updates);
            case 3 -> new MembershipMessage.Nack(number, from, updates);
            default -> new MembershipMessage.Gossip(from, updates);
        };
    }

    @Test
    void whatIsWrittenIsRead() throws Exception {
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

    @Test
    void theLongestNamesFitIntoADatagram() {
        String longest = "x".repeat(64);
        Member member =
                new Member(longest, longest, longest, longest, new Incarnation(1L << 62, 1L << 62), MemberState.LEFT);
        GossipUpdate update = new GossipUpdate(member, longest);
        // What the core reckons a update to need, and not less, is what it may fill its room with.
        List<GossipUpdate> updates = new ArrayList<>();
        for (int bytes = 48 + 5 * 64; bytes <= MembershipSettings.MAX_GOSSIP_BUDGET_BYTES; bytes += 48 + 5 * 64) {
            updates.add(update);
        }
        int length = new MembershipCodec(longest)
                .encode(new MembershipMessage.PingRequest(1L << 62, longest, longest, member, updates))
                .length;
        assertTrue(length <= MembershipCodec.MAX_DATAGRAM_BYTES, "bytes: " + length);
        int more = codec.encode(new MembershipMessage.Gossip(member, List.of(update, update))).length
                - codec.encode(new MembershipMessage.Gossip(member, List.of(update))).length;
        assertTrue(more <= 48 + 5 * 64, "bytes of a rumor: " + more);
    }

    private Reason reason(byte[] frame) {
        return assertThrows(BadFrameException.class, () -> codec.decode(frame)).reason();
    }

    @Test
    void whatIsNotOfThisFleetIsTurnedAwayByItsReason() {
        byte[] frame = codec.encode(message(new SplittableRandom(2), 10));
        assertEquals(
                Reason.FOREIGN_FLEET,
                reason(new MembershipCodec("there").encode(message(new SplittableRandom(2), 10))));
        assertEquals(Reason.BAD_MAGIC, reason("GET / HTTP/1.1\r\n\r\n".getBytes()));
        assertEquals(Reason.BAD_MAGIC, reason(new byte[0]));
        assertEquals(Reason.CHECKSUM_MISMATCH, reason(Arrays.copyOf(frame, frame.length - 1)));
        byte[] newer = frame.clone();
        newer[2]++;
        assertEquals(Reason.UNSUPPORTED_VERSION, reason(summed(newer)));
        assertEquals(Reason.MALFORMED, reason(codec.encodeState(List.of())));
        assertEquals(Reason.MALFORMED, reason(summed(Arrays.copyOf(frame, frame.length + 1))));
    }

    @Test
    void everyByteOfAFrameCounts() {
        byte[] frame = codec.encode(message(new SplittableRandom(3), 20));
        for (int bit = 0; bit < frame.length * 8; bit++) {
            byte[] flipped = frame.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertThrows(BadFrameException.class, () -> codec.decode(flipped), "bit " + bit);
        }
    }

    /** With a checksum that is right, so that what is wrong is met further in. */
    private static byte[] summed(byte[] frame) {
        if (frame.length >= 8) {
            CRC32C sum = new CRC32C();
            sum.update(frame, 2, 2);
            sum.update(frame, 8, frame.length - 8);
            ByteBuffer.wrap(frame).putInt(4, (int) sum.getValue());
        }
        return frame;
    }

    private static byte[] spoilt(byte[] frame, byte[] other, SplittableRandom random) {
        byte[] spoilt = switch (random.nextInt(4)) {
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
        for (int i = random.nextInt(4); i > 0 && spoilt.length > 0; i--) {
            spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt();
        }
        return random.nextInt(8) == 0 ? spoilt : summed(spoilt);
    }

    /** What the core wants done, of which only the last message matters here. */
    private static final class Quiet implements MembershipActions {
        private MembershipMessage last;

        @Override
        public void send(String address, MembershipMessage message) {
            last = message;
        }

        @Override
        public void startStateSync(String address) {
            // Nobody is there.
        }

        @Override
        public void onChange(MembershipChange change) {
            // The view tells.
        }

        @Override
        public void onRoundTrip(long us) {
            // None is measured.
        }

        @Override
        public void scheduleWake(long atUs) {
            // The test keeps the time.
        }
    }

    @Test
    void noDatagramHarmsWhoeverItComesUpon() throws Exception {
        SplittableRandom random = new SplittableRandom(4);
        MembershipSettings small = MembershipSettings.builder("me", "127.0.0.1:1", "z", "node", List.of())
                .maxMembers(MOST_HELD)
                .build();
        Quiet out = new Quiet();
        MembershipProtocol core = new MembershipProtocol(small, 1, 1L << 62, out);
        core.start(0);
        Map<Reason, Integer> dropped = new EnumMap<>(Reason.class);
        int taken = 0;
        byte[] frame = codec.encode(message(random, 12));
        for (int i = 0; i < FUZZED; i++) {
            byte[] other = frame;
            frame = i % 16 == 0 ? codec.encode(message(random, 12)) : frame;
            try {
                MembershipMessage message = codec.decode(spoilt(frame, other, random));
                taken++;
                core.onMessage(i * 1_000L, message);
            } catch (BadFrameException e) {
                dropped.merge(e.reason(), 1, Integer::sum);
            }
            if (i % 100 == 0) {
                core.onWake(i * 1_000L);
            }
        }
        assertTrue(
                taken > FUZZED / 100 && dropped.size() == Reason.values().length, taken + " taken, dropped " + dropped);
        assertTrue(
                core.stateSnapshot().size() <= MOST_HELD,
                "held: " + core.stateSnapshot().size());
        Member asking = new Member("asking", "127.0.0.1:2", "z", "node", new Incarnation(1, 0), MemberState.ALIVE);
        core.onMessage(FUZZED * 1_000L, new MembershipMessage.Ping(77, "me", asking, List.of()));
        assertTrue(
                core.isEnded() || out.last instanceof MembershipMessage.Ack ack && ack.sequence() == 77,
                "answers no more: " + out.last);
        assertArrayEquals(codec.encode(out.last), codec.encode(codec.decode(codec.encode(out.last))));
    }
}
