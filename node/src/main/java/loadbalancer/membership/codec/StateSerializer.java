package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.List;
import loadbalancer.membership.core.GossipUpdate;

/** Serializes the full state of a member, which either side of a state sync sends: updates. */
final class StateSerializer implements ContentSerializer<List<GossipUpdate>> {
    @Override
    public FrameType type() {
        return FrameType.STATE;
    }

    @Override
    public void write(CBORGenerator out, List<GossipUpdate> content) throws IOException {
        GossipUpdatesSerializer.write(out, content);
    }

    @Override
    public List<GossipUpdate> read(FrameReader in) throws IOException, BadFrameException {
        return GossipUpdatesSerializer.read(in);
    }
}
