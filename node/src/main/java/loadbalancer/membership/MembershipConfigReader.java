package loadbalancer.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.membership.core.Member;
import loadbalancer.net.SocketAddresses;

/**
 * Reads the values of a JSON object by key and tracks the keys that have not been read. All methods throw
 * MembershipConfigException if a required value is missing or a value is invalid.
 */
final class MembershipConfigReader {
    private final Map<String, JsonNode> unread = new TreeMap<>();
    private final List<String> knownKeys = new ArrayList<>();

    MembershipConfigReader(JsonNode json) {
        if (!json.isObject()) {
            throw MembershipConfigException.notAnObject(json);
        }
        json.properties().forEach(field -> unread.put(field.getKey(), field.getValue()));
    }

    private JsonNode take(String key) {
        knownKeys.add(key);
        return unread.remove(key);
    }

    /** Reads a string. The key is required if the default is null. */
    private String text(String key, String defaultValue) {
        JsonNode value = take(key);
        if (value == null && defaultValue == null) {
            throw MembershipConfigException.missing(key);
        }
        if (value != null && !value.isTextual()) {
            throw MembershipConfigException.invalid(key, value, "a string");
        }
        return value == null ? defaultValue : value.asText();
    }

    String name(String key, String defaultValue) {
        String name = text(key, defaultValue);
        if (!Member.isValidName(name)) {
            throw MembershipConfigException.invalid(key, name, Member.NAME_RULE);
        }
        return name;
    }

    InetSocketAddress address(String key, String defaultValue) {
        String text = text(key, defaultValue);
        return parse(key, text, "address:port, with a port above 0");
    }

    List<String> addresses(String key) {
        JsonNode value = take(key);
        List<String> addresses = new ArrayList<>();
        if (value != null && !value.isArray()) {
            throw MembershipConfigException.invalid(key, value, "a list of address:port");
        }
        if (value != null) {
            value.forEach(entry -> addresses.add(
                    SocketAddresses.format(parse(key, entry.asText(), "a list of address:port, with a port above 0"))));
        }
        return addresses;
    }

    private static InetSocketAddress parse(String key, String text, String allowed) {
        InetSocketAddress address = SocketAddresses.parseOrNull(text);
        if (address == null || address.getPort() == 0) {
            throw MembershipConfigException.invalid(key, text, allowed);
        }
        return address;
    }

    /** Reads a boolean; false if the key is absent. */
    boolean flag(String key) {
        JsonNode value = take(key);
        if (value != null && !value.isBoolean()) {
            throw MembershipConfigException.invalid(key, value, "true or false");
        }
        return value != null && value.asBoolean();
    }

    int integer(String key, int defaultValue) {
        JsonNode value = take(key);
        if (value != null && !value.isInt()) {
            throw MembershipConfigException.invalid(key, value, "a whole number");
        }
        return value == null ? defaultValue : value.asInt();
    }

    /** Reads a duration above 0 in milliseconds; null if the key is absent. */
    Integer positiveMillis(String key) {
        JsonNode value = take(key);
        if (value != null && (!value.isInt() || value.asInt() <= 0)) {
            throw MembershipConfigException.invalid(key, value, "a whole number of milliseconds above 0");
        }
        return value == null ? null : value.asInt();
    }

    /** Rejects keys that have not been read. Guards against a misspelled key whose default would apply unnoticed. */
    void rejectUnknownKeys() {
        if (!unread.isEmpty()) {
            String key = unread.keySet().iterator().next();
            throw MembershipConfigException.unknown(key, unread.get(key), knownKeys);
        }
    }
}
