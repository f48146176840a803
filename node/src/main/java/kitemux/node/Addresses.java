package kitemux.node;

import java.net.InetSocketAddress;

/** Addresses as configuration and discovery write them. */
final class Addresses {
    private Addresses() {}

    static InetSocketAddress parse(String field, String text) throws ConfigException {
        InetSocketAddress address = kitemux.net.Addresses.parse(text);
        if (address == null) {
            throw new ConfigException(field, "is not address:port: " + text);
        }
        return address;
    }
}
