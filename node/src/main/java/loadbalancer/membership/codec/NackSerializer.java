package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MembershipMessage.Nack;

/** Serializes a nack: sequence, sender, updates. */
final class NackSerializer implements ContentSerializer<Nack> {
    @Override
    public FrameType type() {
        return FrameType.NACK;
    }

    @Override
    public void write(CBORGenerator out, Nack content) throws IOException {
        out.writeNumber(content.sequence());
        MemberSerializer.write(out, content.sender());
        GossipUpdatesSerializer.write(out, content.updates());
    }

    @Override
    public Nack read(FrameReader in) throws IOException, BadFrameException {
        long sequence = in.number("sequence");
        Member sender = MemberSerializer.read(in);
        List<GossipUpdate> updates = GossipUpdatesSerializer.read(in);
        return new Nack(sequence, sender, updates);
    }
}
