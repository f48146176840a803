package loadbalancer.config;

import java.net.InetSocketAddress;

/** Addresses as configuration and discovery write them. */
public final class ConfigAddresses {
    private ConfigAddresses() {}

    /** Parses {@code address:port}; a ConfigException names the field if the text is no address. */
    public static InetSocketAddress parse(String field, String text) throws ConfigException {
        InetSocketAddress address = loadbalancer.net.SocketAddresses.parse(text);
        if (address == null) {
            throw new ConfigException(field, "is not address:port: " + text);
        }
        return address;
    }
}
