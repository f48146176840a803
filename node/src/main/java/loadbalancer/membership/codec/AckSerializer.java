package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MembershipMessage.Ack;

/** Serializes an ack: sequence, sender, updates. */
final class AckSerializer implements ContentSerializer<Ack> {
    @Override
    public FrameType type() {
        return FrameType.ACK;
    }

    @Override
    public void write(CBORGenerator out, Ack content) throws IOException {
        out.writeNumber(content.sequence());
        MemberSerializer.write(out, content.sender());
        GossipUpdatesSerializer.write(out, content.updates());
    }

    @Override
    public Ack read(FrameReader in) throws IOException, BadFrameException {
        long sequence = in.number("sequence");
        Member sender = MemberSerializer.read(in);
        List<GossipUpdate> updates = GossipUpdatesSerializer.read(in);
        return new Ack(sequence, sender, updates);
    }
}
