package loadbalancer.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses as files and peers write them. */
public final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * An IP address with a port, or null where it is none. There are no host names: looking one up would
     * block.
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            return ip == null
                    ? null
                    : new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            return null;
        }
    }

    /** The same as {@link #parse} reads it. */
    public static String text(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }
}
