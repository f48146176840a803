package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MembershipMessage.Ping;

/** Serializes a ping: sequence, name of the target, sender, updates. */
final class PingSerializer implements ContentSerializer<Ping> {
    @Override
    public FrameType type() {
        return FrameType.PING;
    }

    @Override
    public void write(CBORGenerator out, Ping content) throws IOException {
        out.writeNumber(content.sequence());
        out.writeString(content.targetName());
        MemberSerializer.write(out, content.sender());
        GossipUpdatesSerializer.write(out, content.updates());
    }

    @Override
    public Ping read(FrameReader in) throws IOException, BadFrameException {
        long sequence = in.number("sequence");
        String targetName = in.name("targetName");
        Member sender = MemberSerializer.read(in);
        List<GossipUpdate> updates = GossipUpdatesSerializer.read(in);
        return new Ping(sequence, targetName, sender, updates);
    }
}
