package loadbalancer.membership;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import loadbalancer.membership.core.Member;

/** Asks a process how it sees its fleet, from outside. */
public final class MembershipClient {
    private MembershipClient() {}

    /**
     * How a process sees its fleet.
     *
     * @param version grows with each change
     * @param digest equal for processes that hold the same members, in the same lives, for live
     * @param health how much it doubts itself, from 0
     * @param others all that it remembers, dead and left ones included
     * @param figures what it has counted since its start, by name
     */
    public record View(
            long version, long digest, int health, Member self, List<Member> others, Map<String, Long> figures) {}

    /** Throws IOException where nobody answers in time, or what answers is no member. */
    public static View at(InetSocketAddress address, int timeoutMs) throws IOException {
        Codec codec = Codec.ofAnyFleet();
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            byte[] call = codec.encodeLook();
            DataOutputStream to = new DataOutputStream(socket.getOutputStream());
            to.writeInt(call.length);
            to.write(call);
            to.flush();
            DataInputStream from = new DataInputStream(socket.getInputStream());
            int length = from.readInt();
            if (length < 0 || length > Codec.MOST_FRAME) {
                throw new IOException("what answers is no member of a fleet");
            }
            return codec.decodeView(from.readNBytes(length));
        } catch (BadFrameException e) {
            throw new IOException("what answers is no member of a fleet that this version knows: " + e.reason(), e);
        }
    }
}
