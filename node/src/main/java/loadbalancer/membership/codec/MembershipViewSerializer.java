package loadbalancer.membership.codec;

import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.Member;

/**
 * Serializes a view: version, digest, local health, an array of metrics (name, value), the process itself, and the
 * other members as updates, each with the member as its own reporter.
 */
final class MembershipViewSerializer implements ContentSerializer<MembershipView> {
    @Override
    public FrameType type() {
        return FrameType.VIEW;
    }

    @Override
    public void write(CBORGenerator out, MembershipView content) throws IOException {
        out.writeNumber(content.version());
        out.writeNumber(content.digest());
        out.writeNumber(content.localHealth());
        writeMetrics(out, content.metrics());
        MemberSerializer.write(out, content.self());
        List<GossipUpdate> others = content.others().stream()
                .map(member -> new GossipUpdate(member, member.name()))
                .toList();
        GossipUpdatesSerializer.write(out, others);
    }

    private static void writeMetrics(CBORGenerator out, Map<String, Long> metrics) throws IOException {
        out.writeStartArray();
        for (Map.Entry<String, Long> metric : metrics.entrySet()) {
            out.writeString(metric.getKey());
            out.writeNumber(metric.getValue());
        }
        out.writeEndArray();
    }

    @Override
    public MembershipView read(FrameReader in) throws IOException, BadFrameException {
        long version = in.number("version");
        long digest = in.anyNumber("digest");
        int localHealth = (int) Math.min(Integer.MAX_VALUE, in.number("localHealth"));
        Map<String, Long> metrics = readMetrics(in);
        Member self = MemberSerializer.read(in);
        List<Member> others = GossipUpdatesSerializer.read(in).stream()
                .map(GossipUpdate::member)
                .toList();
        return new MembershipView(version, digest, localHealth, self, others, metrics);
    }

    private static Map<String, Long> readMetrics(FrameReader in) throws IOException, BadFrameException {
        in.beginArray("metrics");
        Map<String, Long> metrics = new LinkedHashMap<>();
        while (in.nextElement()) {
            String name = in.currentText();
            metrics.put(name, in.number("metric.value"));
        }
        in.endArray("metrics");
        return metrics;
    }
}
