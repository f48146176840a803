package loadbalancer.membership.codec;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import loadbalancer.membership.codec.BadFrameException.Reason;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.MembershipMessage;

/**
 * Frames of one fleet: a {@link FrameHeader}, then a CBOR array that begins with the fleet's name and goes on with what
 * a {@link ContentSerializer} writes. {@code docs/membership.md} has the table. Thread-safe.
 */
public final class MembershipCodec {
    /** Goes through almost any network in one piece. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;
    /** Room for 10,000 members with the longest texts. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int TYPICAL_FRAME_BYTES = 256;
    private static final String ANY_FLEET = "";
    private static final CBORFactory CBOR = new CBORFactory();

    private static final PingSerializer PING = new PingSerializer();
    private static final AckSerializer ACK = new AckSerializer();
    private static final PingRequestSerializer PING_REQUEST = new PingRequestSerializer();
    private static final GossipSerializer GOSSIP = new GossipSerializer();
    private static final NackSerializer NACK = new NackSerializer();
    private static final StateSerializer STATE = new StateSerializer();
    private static final MembershipViewSerializer VIEW = new MembershipViewSerializer();

    private final String fleet;

    /** @param fleet the one whose frames are understood */
    public MembershipCodec(String fleet) {
        this.fleet = fleet;
    }

    /** A codec for a client that is no member, and understands the view of any fleet. */
    public static MembershipCodec ofAnyFleet() {
        return new MembershipCodec(ANY_FLEET);
    }

    /** The type of an intact frame. */
    public static FrameType typeOf(byte[] frame) throws BadFrameException {
        return FrameHeader.verify(frame);
    }

    // ---------------------------------------------------------------- writing

    /** A message as one datagram. */
    public byte[] encode(MembershipMessage message) {
        if (message instanceof MembershipMessage.Ping ping) {
            return frame(PING, ping);
        } else if (message instanceof MembershipMessage.Ack ack) {
            return frame(ACK, ack);
        } else if (message instanceof MembershipMessage.PingRequest request) {
            return frame(PING_REQUEST, request);
        } else if (message instanceof MembershipMessage.Nack nack) {
            return frame(NACK, nack);
        }
        return frame(GOSSIP, (MembershipMessage.Gossip) message);
    }

    /** All that a member holds, for a state sync. */
    public byte[] encodeState(List<GossipUpdate> state) {
        return frame(STATE, state);
    }

    /** Asks a member for its view. */
    public byte[] encodeViewRequest() {
        return frame(FrameType.VIEW_REQUEST, out -> {});
    }

    public byte[] encodeView(MembershipView view) {
        return frame(VIEW, view);
    }

    private interface ContentWriter {
        void writeTo(CBORGenerator out) throws IOException;
    }

    private <T> byte[] frame(ContentSerializer<T> serializer, T content) {
        return frame(serializer.type(), out -> serializer.write(out, content));
    }

    private byte[] frame(FrameType type, ContentWriter content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(TYPICAL_FRAME_BYTES);
        bytes.writeBytes(new byte[FrameHeader.LENGTH]);
        try (CBORGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartArray();
            out.writeString(fleet);
            content.writeTo(out);
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        byte[] frame = bytes.toByteArray();
        FrameHeader.write(frame, type);
        return frame;
    }

    // ---------------------------------------------------------------- reading

    /** The message of a datagram. */
    public MembershipMessage decode(byte[] frame) throws BadFrameException {
        return switch (FrameHeader.verify(frame)) {
            case PING -> read(frame, PING);
            case ACK -> read(frame, ACK);
            case PING_REQUEST -> read(frame, PING_REQUEST);
            case GOSSIP -> read(frame, GOSSIP);
            case NACK -> read(frame, NACK);
            case STATE, VIEW_REQUEST, VIEW -> rejectAsDatagram(frame);
        };
    }

    /** The content of a state sync. */
    public List<GossipUpdate> decodeState(byte[] frame) throws BadFrameException {
        FrameReader.require(FrameHeader.verify(frame) == FrameType.STATE, "type");
        return read(frame, STATE);
    }

    /** The answer to a view request, of whatever fleet. */
    public MembershipView decodeView(byte[] frame) throws BadFrameException {
        FrameReader.require(FrameHeader.verify(frame) == FrameType.VIEW, "type");
        return read(frame, true, VIEW::read);
    }

    private interface ContentReader<T> {
        T readFrom(FrameReader in) throws IOException, BadFrameException;
    }

    /** Of another fleet it is counted as that first. */
    private MembershipMessage rejectAsDatagram(byte[] frame) throws BadFrameException {
        return read(frame, false, in -> {
            throw new BadFrameException(Reason.MALFORMED, "type");
        });
    }

    private <T> T read(byte[] frame, ContentSerializer<T> serializer) throws BadFrameException {
        return read(frame, false, serializer::read);
    }

    private <T> T read(byte[] frame, boolean anyFleet, ContentReader<T> content) throws BadFrameException {
        int length = frame.length - FrameHeader.LENGTH;
        try (JsonParser parser = CBOR.createParser(frame, FrameHeader.LENGTH, length)) {
            FrameReader in = new FrameReader(parser);
            in.beginArray("content");
            String sentTo = in.text("fleet");
            if (!anyFleet && !sentTo.equals(fleet)) {
                throw new BadFrameException(Reason.FOREIGN_FLEET, "fleet");
            }
            T value = content.readFrom(in);
            in.end();
            return value;
        } catch (IOException e) {
            throw new BadFrameException(Reason.MALFORMED, "content");
        }
    }
}
