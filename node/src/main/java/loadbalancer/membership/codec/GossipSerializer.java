package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MembershipMessage.Gossip;

/** Serializes a gossip message: sender, updates. */
final class GossipSerializer implements ContentSerializer<Gossip> {
    @Override
    public FrameType type() {
        return FrameType.GOSSIP;
    }

    @Override
    public void write(CBORGenerator out, Gossip content) throws IOException {
        MemberSerializer.write(out, content.sender());
        GossipUpdatesSerializer.write(out, content.updates());
    }

    @Override
    public Gossip read(FrameReader in) throws IOException, BadFrameException {
        Member sender = MemberSerializer.read(in);
        List<GossipUpdate> updates = GossipUpdatesSerializer.read(in);
        return new Gossip(sender, updates);
    }
}
