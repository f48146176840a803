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
 * Encodes and decodes the frames of one fleet: a {@link FrameHeader}, then a CBOR array of the fleet's name and the
 * content that a {@link ContentSerializer} writes. {@code docs/membership.md} describes the format. Thread-safe.
 */
public final class MembershipCodec {
    /** Small enough to pass almost any network without fragmentation. */
    public static final int MAX_DATAGRAM_BYTES = 1_400;
    /** Large enough for 10,000 members with names of the maximum length. */
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

    /** @param fleet name of the fleet whose frames are accepted */
    public MembershipCodec(String fleet) {
        this.fleet = fleet;
    }

    /** Returns a codec for a client outside the fleet, which can request and decode the view of any fleet. */
    public static MembershipCodec ofAnyFleet() {
        return new MembershipCodec(ANY_FLEET);
    }

    /** Returns the type of a frame after verifying its header. */
    public static FrameType typeOf(byte[] frame) throws BadFrameException {
        return FrameHeader.verify(frame);
    }

    // ---------------------------------------------------------------- writing

    /** Encodes a message as one datagram. */
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

    /** Encodes the full state of a member for a state sync. */
    public byte[] encodeState(List<GossipUpdate> state) {
        return frame(STATE, state);
    }

    /** Encodes a request for the view of a member. */
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
            throw new UncheckedIOException("cannot encode a frame in memory", e);
        }
        byte[] frame = bytes.toByteArray();
        FrameHeader.write(frame, type);
        return frame;
    }

    // ---------------------------------------------------------------- reading

    /** Decodes the message in a datagram. */
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

    /** Decodes the full state that a peer sends in a state sync. */
    public List<GossipUpdate> decodeState(byte[] frame) throws BadFrameException {
        FrameReader.require(FrameHeader.verify(frame) == FrameType.STATE, "type");
        return read(frame, STATE);
    }

    /** Decodes the response to a view request, from any fleet. */
    public MembershipView decodeView(byte[] frame) throws BadFrameException {
        FrameReader.require(FrameHeader.verify(frame) == FrameType.VIEW, "type");
        return read(frame, true, VIEW::read);
    }

    private interface ContentReader<T> {
        T readFrom(FrameReader in) throws IOException, BadFrameException;
    }

    /** Rejects a frame that is not allowed as a datagram. The fleet is checked first: FOREIGN_FLEET has precedence. */
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
            String frameFleet = in.text("fleet");
            if (!anyFleet && !frameFleet.equals(fleet)) {
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
