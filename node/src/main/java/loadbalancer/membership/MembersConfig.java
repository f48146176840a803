package loadbalancer.membership;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.membership.core.MembershipSettings;
import loadbalancer.net.SocketAddresses;

/**
 * The object {@code fleet} of a configuration file. {@code docs/membership.md} has its keys.
 *
 * @param fleet its name: datagrams of another are dropped
 * @param bind where this process is spoken to
 */
public record MembersConfig(String fleet, InetSocketAddress bind, MembershipSettings settings) {
    private static final long US_PER_MS = 1_000;

    /**
     * Throws IllegalArgumentException, which names key, value and what is allowed.
     *
     * @param member the process's name where the object tells none
     */
    public static MembersConfig read(JsonNode json, String member) {
        Fields fields = new Fields(json);
        String fleet = fields.name("name", null);
        String name = fields.name("member", member);
        InetSocketAddress bind = fields.address("bind", null);
        boolean beyond = fields.yes("beyondLoopback");
        if (!beyond && !bind.getAddress().isLoopbackAddress()) {
            throw bad(
                    "bind", SocketAddresses.format(bind), "a loopback address, or \"beyondLoopback\": true beside it");
        }
        InetSocketAddress advertised = fields.address("advertise", SocketAddresses.format(bind));
        List<String> seeds = fields.addresses("seeds");
        MembershipSettings usual = MembershipSettings.of(
                name,
                SocketAddresses.format(advertised),
                fields.name("zone", "none"),
                fields.name("role", "node"),
                seeds);
        long periodUs = fields.millis("periodMs", usual.periodUs());
        MembershipSettings settings = new MembershipSettings(
                name,
                usual.address(),
                usual.zone(),
                usual.role(),
                periodUs,
                fields.millis("answerMs", periodUs * usual.answerUs() / usual.periodUs()),
                fields.whole("askers", usual.askers()),
                fields.whole("suspicionPeriods", usual.suspicionPeriods()),
                fields.whole("suspicionMost", usual.suspicionMost()),
                fields.whole("confirmations", usual.confirmations()),
                fields.whole("healthMost", usual.healthMost()),
                fields.whole("spread", usual.spread()),
                fields.millis("syncMs", periodUs * usual.syncUs() / usual.periodUs()),
                fields.millis("forgetMs", usual.forgetUs()),
                fields.whole("mostMembers", usual.mostMembers()),
                usual.roomBytes(),
                seeds);
        fields.end();
        try {
            settings.validate();
        } catch (IllegalArgumentException e) {
            // The core counts in microseconds, the file in milliseconds.
            throw new IllegalArgumentException(
                    "fleet."
                            + e.getMessage()
                                    .replaceFirst("^(\\w+)Us = (\\d+)\\d{3}:", "$1Ms = $2:")
                                    .replace("Us", "Ms"),
                    e);
        }
        return new MembersConfig(fleet, bind, settings);
    }

    private static IllegalArgumentException bad(String key, Object value, String allowed) {
        return new IllegalArgumentException("fleet." + key + " = " + value + ": must be " + allowed);
    }

    /** Reads key by key, and knows in the end what nobody has asked for. */
    private static final class Fields {
        private final Map<String, JsonNode> left = new TreeMap<>();
        private final List<String> known = new ArrayList<>();

        Fields(JsonNode json) {
            if (!json.isObject()) {
                throw new IllegalArgumentException("fleet = " + json + ": must be an object");
            }
            for (Iterator<Map.Entry<String, JsonNode>> i = json.properties().iterator(); i.hasNext(); ) {
                Map.Entry<String, JsonNode> field = i.next();
                left.put(field.getKey(), field.getValue());
            }
        }

        private JsonNode take(String key) {
            known.add(key);
            return left.remove(key);
        }

        private String text(String key, String usual) {
            JsonNode value = take(key);
            if (value == null && usual == null) {
                throw new IllegalArgumentException("fleet." + key + " is missing");
            }
            if (value != null && !value.isTextual()) {
                throw bad(key, value, "a text");
            }
            return value == null ? usual : value.asText();
        }

        String name(String key, String usual) {
            String name = text(key, usual);
            if (!loadbalancer.membership.core.Member.isName(name)) {
                throw bad(key, name, loadbalancer.membership.core.Member.NAMES);
            }
            return name;
        }

        private static InetSocketAddress address(String key, String text, boolean inList) {
            InetSocketAddress address = SocketAddresses.parseOrNull(text);
            if (address == null || address.getPort() == 0) {
                throw bad(key, text, (inList ? "a list of " : "") + "address:port, with a port above 0");
            }
            return address;
        }

        InetSocketAddress address(String key, String usual) {
            return address(key, text(key, usual), false);
        }

        List<String> addresses(String key) {
            JsonNode value = take(key);
            List<String> addresses = new ArrayList<>();
            if (value != null && !value.isArray()) {
                throw bad(key, value, "a list of address:port");
            }
            if (value != null) {
                value.forEach(entry -> addresses.add(SocketAddresses.format(address(key, entry.asText(), true))));
            }
            return addresses;
        }

        boolean yes(String key) {
            JsonNode value = take(key);
            if (value != null && !value.isBoolean()) {
                throw bad(key, value, "true or false");
            }
            return value != null && value.asBoolean();
        }

        int whole(String key, int usual) {
            JsonNode value = take(key);
            if (value != null && !value.isInt()) {
                throw bad(key, value, "a whole number");
            }
            return value == null ? usual : value.asInt();
        }

        long millis(String key, long usualUs) {
            JsonNode value = take(key);
            if (value != null && (!value.isInt() || value.asInt() <= 0)) {
                throw bad(key, value, "a whole number of milliseconds above 0");
            }
            return value == null ? usualUs : value.asInt() * US_PER_MS;
        }

        void end() {
            if (!left.isEmpty()) {
                String key = left.keySet().iterator().next();
                throw new IllegalArgumentException("fleet." + key + " = " + left.get(key)
                        + ": is not known; keys here are " + String.join(", ", known));
            }
        }
    }
}
