package loadbalancer.membership;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import loadbalancer.membership.BadFrameException.Reason;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Incarnation;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MemberState;
import loadbalancer.membership.core.MembershipMessage;

/**
 * Messages as bytes: "KM", the version of the format, the kind, CRC32C over version, kind and what follows,
 * then a CBOR array that begins with the fleet's name. {@code docs/membership.md} has the table.
 */
public final class Codec {
    /** What goes through a network in one piece almost anywhere. */
    static final int MOST_DATAGRAM = 1_400;
    /** 10,000 members with the longest texts. */
    static final int MOST_FRAME = 8 << 20;

    static final byte VERSION = 1;
    private static final byte[] MAGIC = {'K', 'M'};
    private static final int HEADER = 8;
    /** A time or count beyond it would run over when it is raised. */
    private static final long MOST_NUMBER = 1L << 62;

    private static final MemberState[] STATES = MemberState.values();
    private static final CBORFactory CBOR = new CBORFactory();

    /** What a frame is. */
    enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        GOSSIP,
        NACK,
        STATE,
        LOOK,
        VIEW
    }

    private static final Kind[] KINDS = Kind.values();

    private final String fleet;

    /** @param fleet the one whose messages are understood */
    public Codec(String fleet) {
        this.fleet = fleet;
    }

    /** One that only asks, and takes what any fleet answers. */
    static Codec ofAnyFleet() {
        return new Codec("");
    }

    // ---------------------------------------------------------------- writing

    private interface Content {
        void writeTo(CBORGenerator to) throws IOException;
    }

    private byte[] frame(Kind kind, Content content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        bytes.writeBytes(new byte[HEADER]);
        try (CBORGenerator to = CBOR.createGenerator(bytes)) {
            to.writeStartArray();
            to.writeString(fleet);
            content.writeTo(to);
            to.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        byte[] frame = bytes.toByteArray();
        ByteBuffer.wrap(frame)
                .put(MAGIC)
                .put(VERSION)
                .put((byte) kind.ordinal())
                .putInt(checksum(frame));
        return frame;
    }

    private static int checksum(byte[] frame) {
        CRC32C sum = new CRC32C();
        sum.update(frame, MAGIC.length, 2);
        sum.update(frame, HEADER, frame.length - HEADER);
        return (int) sum.getValue();
    }

    /** As one datagram. */
    public byte[] encode(MembershipMessage message) {
        if (message instanceof MembershipMessage.Ping ping) {
            return frame(Kind.PING, to -> {
                to.writeNumber(ping.sequence());
                to.writeString(ping.targetName());
                write(to, ping.sender(), ping.updates());
            });
        } else if (message instanceof MembershipMessage.PingRequest request) {
            return frame(Kind.PING_REQUEST, to -> {
                to.writeNumber(request.sequence());
                to.writeString(request.targetName());
                to.writeString(request.targetAddress());
                write(to, request.sender(), request.updates());
            });
        } else if (message instanceof MembershipMessage.Ack ack) {
            return frame(Kind.ACK, to -> {
                to.writeNumber(ack.sequence());
                write(to, ack.sender(), ack.updates());
            });
        } else if (message instanceof MembershipMessage.Nack nack) {
            return frame(Kind.NACK, to -> {
                to.writeNumber(nack.sequence());
                write(to, nack.sender(), nack.updates());
            });
        }
        MembershipMessage.Gossip gossip = (MembershipMessage.Gossip) message;
        return frame(Kind.GOSSIP, to -> write(to, gossip.sender(), gossip.updates()));
    }

    /** All that a member knows, for an exchange. */
    byte[] encodeState(List<GossipUpdate> all) {
        return frame(Kind.STATE, to -> write(to, all));
    }

    byte[] encodeLook() {
        return frame(Kind.LOOK, to -> {});
    }

    byte[] encodeView(MembershipClient.View view) {
        return frame(Kind.VIEW, to -> {
            to.writeNumber(view.version());
            to.writeNumber(view.digest());
            to.writeNumber(view.health());
            to.writeStartArray();
            for (Map.Entry<String, Long> figure : view.figures().entrySet()) {
                to.writeString(figure.getKey());
                to.writeNumber(figure.getValue());
            }
            to.writeEndArray();
            write(
                    to,
                    view.self(),
                    view.others().stream()
                            .map(m -> new GossipUpdate(m, m.name()))
                            .toList());
        });
    }

    private static void write(CBORGenerator to, Member from, List<GossipUpdate> updates) throws IOException {
        write(to, from);
        write(to, updates);
    }

    private static void write(CBORGenerator to, List<GossipUpdate> updates) throws IOException {
        to.writeStartArray();
        for (GossipUpdate update : updates) {
            write(to, update.member());
            to.writeString(update.reporter());
        }
        to.writeEndArray();
    }

    private static void write(CBORGenerator to, Member member) throws IOException {
        to.writeString(member.name());
        to.writeString(member.address());
        to.writeString(member.zone());
        to.writeString(member.role());
        to.writeNumber(member.incarnation().generation());
        to.writeNumber(member.incarnation().refutations());
        to.writeNumber(member.state().ordinal());
    }

    // ---------------------------------------------------------------- reading

    private interface Reading<T> {
        T readFrom(JsonParser from) throws IOException, BadFrameException;
    }

    /** What kind of frame this is, once it is known to be whole and of a version that is understood. */
    static Kind kind(byte[] frame) throws BadFrameException {
        if (frame.length < HEADER || frame[0] != MAGIC[0] || frame[1] != MAGIC[1]) {
            throw new BadFrameException(Reason.NOT_OURS);
        }
        // Before the version: a damaged one must not pass for newer.
        if (ByteBuffer.wrap(frame).getInt(HEADER - Integer.BYTES) != checksum(frame)) {
            throw new BadFrameException(Reason.DAMAGED);
        }
        if (frame[2] != VERSION || frame[3] < 0 || frame[3] >= KINDS.length) {
            throw new BadFrameException(Reason.NEWER);
        }
        return KINDS[frame[3]];
    }

    private <T> T read(byte[] frame, boolean anyFleet, Reading<T> content) throws BadFrameException {
        try (JsonParser from = CBOR.createParser(frame, HEADER, frame.length - HEADER)) {
            require(from.nextToken() == JsonToken.START_ARRAY);
            String told = text(from);
            if (!anyFleet && !told.equals(fleet)) {
                throw new BadFrameException(Reason.FOREIGN_FLEET);
            }
            T read = content.readFrom(from);
            require(from.nextToken() == JsonToken.END_ARRAY && from.nextToken() == null);
            return read;
        } catch (IOException e) {
            throw new BadFrameException(Reason.MALFORMED);
        }
    }

    private static void require(boolean holds) throws BadFrameException {
        if (!holds) {
            throw new BadFrameException(Reason.MALFORMED);
        }
    }

    /** A message that came as one datagram. */
    MembershipMessage decode(byte[] frame) throws BadFrameException {
        Kind kind = kind(frame);
        return read(frame, false, from -> switch (kind) {
            case PING -> new MembershipMessage.Ping(number(from), name(from), member(from), updates(from));
            case PING_REQUEST ->
                new MembershipMessage.PingRequest(number(from), name(from), name(from), member(from), updates(from));
            case ACK -> new MembershipMessage.Ack(number(from), member(from), updates(from));
            case NACK -> new MembershipMessage.Nack(number(from), member(from), updates(from));
            case GOSSIP -> new MembershipMessage.Gossip(member(from), updates(from));
            default -> throw new BadFrameException(Reason.MALFORMED);
        });
    }

    List<GossipUpdate> decodeState(byte[] frame) throws BadFrameException {
        require(kind(frame) == Kind.STATE);
        return read(frame, false, Codec::updates);
    }

    MembershipClient.View decodeView(byte[] frame) throws BadFrameException {
        require(kind(frame) == Kind.VIEW);
        return read(frame, true, from -> {
            long version = number(from);
            require(from.nextToken() == JsonToken.VALUE_NUMBER_INT);
            long digest = from.getLongValue();
            int health = (int) Math.min(Integer.MAX_VALUE, number(from));
            require(from.nextToken() == JsonToken.START_ARRAY);
            Map<String, Long> figures = new LinkedHashMap<>();
            while (from.nextToken() == JsonToken.VALUE_STRING) {
                figures.put(from.getText(), number(from));
            }
            require(from.currentToken() == JsonToken.END_ARRAY);
            return new MembershipClient.View(
                    version,
                    digest,
                    health,
                    member(from),
                    updates(from).stream().map(GossipUpdate::member).toList(),
                    figures);
        });
    }

    private static List<GossipUpdate> updates(JsonParser from) throws IOException, BadFrameException {
        require(from.nextToken() == JsonToken.START_ARRAY);
        List<GossipUpdate> updates = new ArrayList<>();
        while (from.nextToken() == JsonToken.VALUE_STRING) {
            Member member = member(from, checked(from.getText()));
            updates.add(new GossipUpdate(member, name(from)));
        }
        require(from.currentToken() == JsonToken.END_ARRAY);
        return updates;
    }

    private static Member member(JsonParser from) throws IOException, BadFrameException {
        return member(from, name(from));
    }

    private static Member member(JsonParser from, String name) throws IOException, BadFrameException {
        String address = name(from);
        String zone = name(from);
        String role = name(from);
        Incarnation incarnation = new Incarnation(number(from), number(from));
        long state = number(from);
        require(state < STATES.length);
        return new Member(name, address, zone, role, incarnation, STATES[(int) state]);
    }

    private static long number(JsonParser from) throws IOException, BadFrameException {
        require(from.nextToken() == JsonToken.VALUE_NUMBER_INT);
        long number = from.getLongValue();
        require(number >= 0 && number <= MOST_NUMBER);
        return number;
    }

    private static String text(JsonParser from) throws IOException, BadFrameException {
        require(from.nextToken() == JsonToken.VALUE_STRING);
        return from.getText();
    }

    private static String name(JsonParser from) throws IOException, BadFrameException {
        return checked(text(from));
    }

    private static String checked(String name) throws BadFrameException {
        require(Member.isValidName(name));
        return name;
    }
}
