package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.net.SocketAddresses;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;

/**
 * Decodes endpoint lists from a JSON tree (configuration file) or a JSON stream (discovery service). Unknown fields are
 * ignored. Immutable.
 *
 * <p>The constants map each field and value of the JSON format to its name in the code.
 */
public final class EndpointListDecoder {
    private static final String VERSION = "rev";
    private static final String FULL = "all";
    private static final String ENDPOINTS = "targets";

    private static final String SERVER_ID = "uid";
    private static final String ADDRESS = "endpoint";
    private static final String ZONE = "az";
    private static final String CELL = "pod_group";
    private static final String STATE = "state";
    private static final String STATE_READY = "Ready";
    private static final String STATE_DRAINING = "Terminating";
    private static final String STATE_GONE = "Gone";
    private static final String CAPACITY = "capacity_hint";
    private static final String STARTED_AT_MILLIS = "boot_ms";

    private static final int DEFAULT_CELL = 0;
    private static final double DEFAULT_CAPACITY = 1;
    private static final long MICROS_PER_MILLI = 1_000;

    private final List<String> zones;

    /** @param zones the zone names; the zone of a server is decoded to its index in this list, or -1 if not listed */
    public EndpointListDecoder(List<String> zones) {
        this.zones = zones;
    }

    /**
     * Decodes a list from a JSON tree.
     *
     * @throws InvalidEndpointListException if a required field is missing or invalid
     */
    public EndpointList decode(JsonNode list) throws InvalidEndpointListException {
        JsonNode version = list.path(VERSION);
        requireVersion(version);
        JsonNode targets = list.path(ENDPOINTS);
        requireEndpoints(targets.isArray());
        List<Endpoint> endpoints = new ArrayList<>(targets.size());
        for (JsonNode target : targets) {
            endpoints.add(decodeEndpoint(target, endpoints.size()));
        }
        return new EndpointList(version.asLong(), list.path(FULL).asBoolean(), endpoints);
    }

    /**
     * Decodes a list from a JSON stream, one server at a time. A tree of the whole list would take several times the
     * memory of the list itself.
     *
     * @throws InvalidEndpointListException if a required field is missing or invalid
     * @throws IOException if the input is not valid JSON or cannot be read
     */
    public EndpointList decode(JsonParser parser) throws IOException, InvalidEndpointListException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidEndpointListException("list", "is not a JSON object");
        }
        JsonNode version = MissingNode.getInstance();
        JsonNode full = MissingNode.getInstance();
        List<Endpoint> endpoints = null;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken firstToken = parser.nextToken();
            if (field.equals(ENDPOINTS) && firstToken == JsonToken.START_ARRAY) {
                endpoints = decodeEndpoints(parser);
                continue;
            }
            JsonNode value = parser.readValueAsTree();
            if (field.equals(VERSION)) {
                version = value;
            } else if (field.equals(FULL)) {
                full = value;
            }
        }
        requireVersion(version);
        requireEndpoints(endpoints != null);
        return new EndpointList(version.asLong(), full.asBoolean(), endpoints);
    }

    private List<Endpoint> decodeEndpoints(JsonParser parser) throws IOException, InvalidEndpointListException {
        List<Endpoint> endpoints = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            JsonNode target = parser.readValueAsTree();
            endpoints.add(decodeEndpoint(target, endpoints.size()));
        }
        return endpoints;
    }

    private static void requireVersion(JsonNode version) throws InvalidEndpointListException {
        if (!version.isIntegralNumber()) {
            throw new InvalidEndpointListException(VERSION, "is missing or not a whole number");
        }
    }

    private static void requireEndpoints(boolean isList) throws InvalidEndpointListException {
        if (!isList) {
            throw new InvalidEndpointListException(ENDPOINTS, "is missing or not a list");
        }
    }

    private Endpoint decodeEndpoint(JsonNode target, int index) throws InvalidEndpointListException {
        String serverId = target.path(SERVER_ID).asText();
        if (serverId.isEmpty()) {
            throw invalidEndpoint(index, SERVER_ID, "is missing");
        }
        ServerState state = switch (target.path(STATE).asText()) {
            case STATE_READY -> ServerState.READY;
            case STATE_DRAINING -> ServerState.DRAINING;
            case STATE_GONE -> ServerState.GONE;
            default -> throw invalidEndpoint(index, STATE, "is unknown");
        };
        // No address is required for a server that is gone: a missing or invalid one must not prevent its removal.
        InetSocketAddress address = state == ServerState.GONE ? null : decodeAddress(target, index);
        ServerEntry server = new ServerEntry(
                serverId,
                zones.indexOf(target.path(ZONE).asText()),
                target.path(CELL).asInt(DEFAULT_CELL),
                state,
                target.path(CAPACITY).asDouble(DEFAULT_CAPACITY),
                target.path(STARTED_AT_MILLIS).asLong(0) * MICROS_PER_MILLI);
        return new Endpoint(server, address);
    }

    private static InetSocketAddress decodeAddress(JsonNode target, int index) throws InvalidEndpointListException {
        String text = target.path(ADDRESS).asText();
        InetSocketAddress address = SocketAddresses.parseOrNull(text);
        if (address == null) {
            throw invalidEndpoint(index, ADDRESS, "is not address:port: " + text);
        }
        return address;
    }

    private static InvalidEndpointListException invalidEndpoint(int index, String field, String problem) {
        return new InvalidEndpointListException(ENDPOINTS + "[" + index + "]." + field, problem);
    }
}
