package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.common.Log;
import loadbalancer.config.ConfigAddresses;
import loadbalancer.config.ConfigException;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;

/**
 * A server list in discovery's form.
 *
 * @param rev its version
 * @param all whether it holds all servers or only those that changed
 * @param hosts its entries, in order
 */
public record EndpointList(long rev, boolean all, List<Host> hosts) {

    /** One entry: what the module is told, and the address, which it is not. */
    public record Host(ServerEntry entry, InetSocketAddress endpoint) {}

    /**
     * Decodes a list; zones are named as in the settings.
     *
     * @param at where it stands, for the message: empty, or a name and a dot
     * @throws ConfigException if it is not in discovery's form; the message names the field
     */
    public static EndpointList decode(JsonNode list, List<String> zones, String at) throws ConfigException {
        JsonNode targets = list.path("targets");
        if (!list.path("rev").isIntegralNumber()) {
            throw new ConfigException(at + "rev", "is missing or not a whole number");
        }
        if (!targets.isArray()) {
            throw new ConfigException(at + "targets", "is missing or not a list");
        }
        List<Host> hosts = new ArrayList<>(targets.size());
        for (JsonNode target : targets) {
            hosts.add(host(target, zones, at + "targets[" + hosts.size() + "]."));
        }
        return new EndpointList(list.path("rev").asLong(), list.path("all").asBoolean(), hosts);
    }

    /**
     * The same from discovery's bytes, one entry after the other: the whole of a long list as a tree takes
     * several times the memory of what is kept of it.
     */
    public static EndpointList decode(JsonParser parser, List<String> zones) throws IOException, ConfigException {
        JsonNode rev = MissingNode.getInstance();
        JsonNode all = MissingNode.getInstance();
        List<Host> hosts = null;
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new ConfigException("list", "is no object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (field.equals("targets") && value == JsonToken.START_ARRAY) {
                hosts = hosts(parser, zones);
            } else {
                JsonNode node = parser.readValueAsTree();
                rev = field.equals("rev") ? node : rev;
                all = field.equals("all") ? node : all;
            }
        }
        if (!rev.isIntegralNumber()) {
            throw new ConfigException("rev", "is missing or not a whole number");
        }
        if (hosts == null) {
            throw new ConfigException("targets", "is missing or not a list");
        }
        return new EndpointList(rev.asLong(), all.asBoolean(), hosts);
    }

    private static List<Host> hosts(JsonParser parser, List<String> zones) throws IOException, ConfigException {
        List<Host> hosts = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            JsonNode target = parser.readValueAsTree();
            hosts.add(host(target, zones, "targets[" + hosts.size() + "]."));
        }
        return hosts;
    }

    /** In one line, for the log. */
    /** Logs its version and how many of its servers are in each state. */
    void log(boolean firstOfWatch) {
        int[] counts = new int[ServerState.values().length];
        for (Host host : hosts) {
            counts[host.entry().state().ordinal()]++;
        }
        Log.info(
                "endpoint_list",
                "version",
                rev,
                "kind",
                all ? "full" : "changes",
                "first_of_watch",
                firstOfWatch,
                "ready",
                counts[ServerState.READY.ordinal()],
                "draining",
                counts[ServerState.DRAINING.ordinal()],
                "gone",
                counts[ServerState.GONE.ordinal()]);
    }

    private static Host host(JsonNode target, List<String> zones, String at) throws ConfigException {
        String id = target.path("uid").asText();
        if (id.isEmpty()) {
            throw new ConfigException(at + "uid", "is missing");
        }
        ServerState state = switch (target.path("state").asText()) {
            case "Ready" -> ServerState.READY;
            case "Terminating" -> ServerState.DRAINING;
            case "Gone" -> ServerState.GONE;
            default -> throw new ConfigException(at + "state", "is unknown");
        };
        // A server that has gone needs no address; word of it must not be lost for want of one.
        InetSocketAddress endpoint = state == ServerState.GONE
                ? null
                : ConfigAddresses.parse(at + "endpoint", target.path("endpoint").asText());
        // Boot times may lie some milliseconds off ours; the module's clock is Unix time too.
        ServerEntry entry = new ServerEntry(
                id,
                zones.indexOf(target.path("az").asText()),
                target.path("pod_group").asInt(0),
                state,
                target.path("capacity_hint").asDouble(1),
                target.path("boot_ms").asLong(0) * 1_000);
        return new Host(entry, endpoint);
    }
}
