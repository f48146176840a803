package loadbalancer.membership;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import loadbalancer.membership.codec.BadFrameException;
import loadbalancer.membership.codec.MembershipCodec;
import loadbalancer.membership.codec.MembershipView;

/** Blocking client that fetches a member's view from outside its fleet, for tools and tests. */
public final class MembershipClient {
    private MembershipClient() {}

    /**
     * Returns the view of the process at an address. Throws NotAMemberException if the response is not from a member,
     * and IOException if there is no response in time.
     */
    public static MembershipView fetchView(InetSocketAddress address, int timeoutMillis) throws IOException {
        MembershipCodec codec = MembershipCodec.ofAnyFleet();
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            writeFrame(socket, codec.encodeViewRequest());
            return codec.decodeView(readFrame(socket));
        } catch (BadFrameException e) {
            throw new NotAMemberException(
                    "the response is not from a member of a fleet that this version supports: " + e.getMessage(), e);
        }
    }

    private static void writeFrame(Socket socket, byte[] frame) throws IOException {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }

    private static byte[] readFrame(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        int length = in.readInt();
        if (length < 0 || length > MembershipCodec.MAX_FRAME_BYTES) {
            throw new NotAMemberException("the response is not from a member of a fleet: invalid frame length", null);
        }
        return in.readNBytes(length);
    }
}
