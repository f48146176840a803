package loadbalancer.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses and formats socket addresses in the form {@code address:port}, as in files and messages of peers. */
public final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Parses an IP address with a port. Returns null if the text is not one. Host names are not accepted, because a
     * lookup would block.
     */
    public static InetSocketAddress parseOrNull(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return null;
        }
        byte[] ipAddress = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ipAddress == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(ipAddress), port);
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    /** Formats an address such that {@link #parseOrNull} can parse it. */
    public static String format(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }
}
