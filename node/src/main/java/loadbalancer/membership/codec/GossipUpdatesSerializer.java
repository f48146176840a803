package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;

/** Serializes gossip updates within a frame: an array of members, each followed by the name of its reporter. */
final class GossipUpdatesSerializer {
    private GossipUpdatesSerializer() {}

    static void write(CBORGenerator out, List<GossipUpdate> updates) throws IOException {
        out.writeStartArray();
        for (GossipUpdate update : updates) {
            MemberSerializer.write(out, update.member());
            out.writeString(update.reporter());
        }
        out.writeEndArray();
    }

    static List<GossipUpdate> read(FrameReader in) throws IOException, BadFrameException {
        in.beginArray("updates");
        List<GossipUpdate> updates = new ArrayList<>();
        while (in.nextElement()) {
            String name = FrameReader.validName(in.currentText(), "member.name");
            Member member = MemberSerializer.readAfterName(in, name);
            updates.add(new GossipUpdate(member, in.name("update.reporter")));
        }
        in.endArray("updates");
        return updates;
    }
}
