package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;
import loadbalancer.membership.core.MembershipMessage.PingRequest;

/** Serializes a ping request: sequence, name and address of the target, sender, updates. */
final class PingRequestSerializer implements ContentSerializer<PingRequest> {
    @Override
    public FrameType type() {
        return FrameType.PING_REQUEST;
    }

    @Override
    public void write(CBORGenerator out, PingRequest content) throws IOException {
        out.writeNumber(content.sequence());
        out.writeString(content.targetName());
        out.writeString(content.targetAddress());
        MemberSerializer.write(out, content.sender());
        GossipUpdatesSerializer.write(out, content.updates());
    }

    @Override
    public PingRequest read(FrameReader in) throws IOException, BadFrameException {
        long sequence = in.number("sequence");
        String targetName = in.name("targetName");
        String targetAddress = in.name("targetAddress");
        Member sender = MemberSerializer.read(in);
        List<GossipUpdate> updates = GossipUpdatesSerializer.read(in);
        return new PingRequest(sequence, targetName, targetAddress, sender, updates);
    }
}
