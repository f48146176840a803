package loadbalancer.harness.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Converts a day file of the platform's simulator to a scenario, so that the score G of both models can be compared on
 * the same days. {@code docs/model.md} lists what the conversion leaves out.
 */
public final class DayFile {
    /** Microseconds per millisecond; times of a day file are in microseconds. */
    private static final double MS = 1e3;
    /** Microseconds per second. */
    private static final double S = 1e6;

    private final JsonNode day;
    private final ObjectNode scenario = new ObjectMapper().createObjectNode();

    private DayFile(JsonNode day) {
        this.day = day;
    }

    /**
     * Returns the scenario as TOML.
     *
     * @param name the name of the scenario
     * @throws IOException if the file cannot be read or is not a day file
     */
    public static String toToml(Path file, String name) throws IOException {
        JsonNode day = new ObjectMapper().readTree(Files.readString(file));
        if (!day.path("tiers").isArray()
                || !day.path("servers").isArray()
                || !day.path("classes").isArray()) {
            throw new IOException(file + ": is no day file; it must have lists of tiers, servers and classes");
        }
        return new TomlMapper().writeValueAsString(new DayFile(day).scenario(name));
    }

    private ObjectNode scenario(String name) {
        scenario.put("name", name).put("length_s", day.path("length").asDouble() / S);
        fleet();
        load();
        classes();
        clients();
        net();
        list();
        servers();
        rules();
        faults();
        return scenario;
    }

    private JsonNode tier() {
        return day.path("tiers").path(0);
    }

    private void fleet() {
        ObjectNode fleet = scenario.putObject("fleet")
                .put("nodes", day.path("balancers").size())
                .put("servers", day.path("servers").size());
        fleet.set("zones", day.path("zones"));
        copy(day.path("balancers"), "zone", fleet.putArray("node_zones"));
        copy(day.path("servers"), "zone", fleet.putArray("server_zones"));
        copy(day.path("servers"), "kind", fleet.putArray("server_kinds"));
        copy(day.path("servers"), "speed", fleet.putArray("speeds"));
    }

    private static void copy(JsonNode from, String field, ArrayNode to) {
        from.forEach(entry -> to.add(entry.path(field)));
    }

    /** A load of 1 in a day file is the capacity of the servers when they are warm and below the thrashing limit. */
    private void load() {
        JsonNode traffic = day.path("traffic");
        double capacity = 0;
        for (JsonNode server : day.path("servers")) {
            capacity += server.path("speed").asDouble()
                    * tier().path("kinds")
                            .path(server.path("kind").asInt())
                            .path("cores")
                            .asInt();
        }
        double work = 0;
        for (JsonNode c : day.path("classes")) {
            work += c.path("share").asDouble() * c.path("work").asDouble();
        }
        ObjectNode load = scenario.putObject("load")
                .put("per_second", traffic.path("load").asDouble() * capacity * S / work)
                .put("keys", traffic.path("keys").asInt())
                .put("key_zipf", traffic.path("key_zipf").asDouble());
        load.set("zone_shares", traffic.path("zone_share"));
        ArrayNode shape = load.putArray("shape");
        // The points of the shape are one second apart.
        traffic.path("shape").forEach(point -> shape.add(point.path(1)));
    }

    private void classes() {
        ArrayNode classes = scenario.putArray("class");
        for (JsonNode c : day.path("classes")) {
            boolean exponential = c.path("dist").asText().equals("exp");
            classes.addObject()
                    .put("name", c.path("name").asText())
                    .put("share", c.path("share").asDouble())
                    .put("work_ms", c.path("work").asDouble() / MS)
                    .put("cv", exponential ? 1 : c.path("cv").asDouble())
                    .put("attempt_noise", c.path("attempt_noise").asDouble())
                    .put("aim_ms", c.path("aim").asDouble() / MS)
                    .put("deadline_ms", c.path("deadline").asDouble() / MS)
                    .put("worth", c.path("worth").asDouble())
                    .put("effect", c.path("effect").asText());
        }
    }

    private void clients() {
        JsonNode clients = day.path("clients");
        boolean waits = !clients.path("backoff").asText().equals("none");
        scenario.putObject("clients")
                .put("tries", 1 + clients.path("retries").asInt())
                .put("try_share", clients.path("try_share").asDouble())
                .put("backoff_ms", waits ? clients.path("backoff_us").asDouble() / MS : 0)
                .put("leaving", clients.path("impatient").asDouble())
                .put("marks_repeats", clients.path("marks_retry").asBoolean())
                .put("front_notice_s", day.path("front_notice").asDouble() / S);
    }

    private void net() {
        JsonNode net = day.path("net");
        scenario.putObject("net")
                .put("same_zone_ms", net.path("same").asDouble() / MS)
                .put("cross_zone_ms", net.path("cross").asDouble() / MS)
                .put("client_ms", net.path("client").asDouble() / MS)
                .put("jitter", net.path("jitter").asDouble())
                .put("connect_timeout_ms", tier().path("connect_timeout").asDouble() / MS)
                .put("handshake_trips", (int)
                        Math.round(tier().path("handshake_rtts").asDouble()))
                .put("handshake_work_ms", tier().path("handshake_work").asDouble() / MS)
                .put("connections_per_core", (int)
                        tier().path("conn_cap_per_core").asDouble())
                .put("idle_s", tier().path("conn_idle").asDouble() / S);
    }

    private void list() {
        JsonNode discovery = day.path("discovery");
        scenario.putObject("list")
                .put("add_s", discovery.path("add").asDouble() / S)
                .put("change_s", discovery.path("period").asDouble() / S)
                .put("death_s", discovery.path("notice").asDouble() / S)
                .put("silence_s", discovery.path("silent_notice").asDouble() / S)
                .put("spread_ms", discovery.path("spread").asDouble() / MS);
    }

    private void servers() {
        ArrayNode servers = scenario.putArray("server");
        for (JsonNode kind : tier().path("kinds")) {
            int cores = kind.path("cores").asInt();
            // A day file has slots and queue per machine; a scenario has them per core.
            servers.addObject()
                    .put("cores", cores)
                    .put("slots", Math.max(1, kind.path("slots").asInt() / cores))
                    .put("queue", kind.path("queue").asInt() / cores)
                    .put("thrash", kind.path("thrash").asDouble())
                    .put("thrash_at", (int) Math.round(kind.path("knee").asDouble()))
                    .put("cold_from", kind.path("cold_from").asDouble())
                    .put("cold_s", kind.path("cold").asDouble() / S)
                    .put("pause_every_s", kind.path("pause_every").asDouble() / S)
                    .put("pause_ms", kind.path("pause").asDouble() / MS)
                    .put("pause_grow", kind.path("pause_grow").asDouble())
                    .put("error_rate", kind.path("error_rate").asDouble())
                    .put("keys_kept", (int) Math.round(
                            day.path("fam").path("affinity_keys_per_core").asDouble()))
                    .put("keys_kept_s", day.path("fam").path("affinity_s").asDouble())
                    .put("key_gain", day.path("fam").path("affinity_gain").asDouble())
                    .put("report_every_ms", tier().path("report_period").asDouble() / MS)
                    .put("report_delay_ms", tier().path("report_delay").asDouble() / MS)
                    .put("report_noise", tier().path("report_noise").asDouble())
                    .put("drops_expired", kind.path("drops_expired").asBoolean());
        }
    }

    private void rules() {
        JsonNode allow = day.path("allow");
        scenario.putObject("rules")
                .put("max_attempts", allow.path("max_attempts").asInt())
                .put("second_copies", allow.path("second_copies").asBoolean())
                .put("cancel", allow.path("cancel").asBoolean())
                .put("drain_grace_ms", day.path("drain_grace").asDouble() / MS)
                .put("fall_multiple", day.path("fall_multiple").asDouble())
                .put("fall_ms", day.path("fall_for").asDouble() / MS);
        JsonNode goal = day.path("goal");
        JsonNode prices = day.path("prices");
        scenario.putObject("prices")
                .put("whole", goal.path("whole").asDouble())
                .put("worst_window", goal.path("worst_window").asDouble())
                .put("worst_class", goal.path("worst_class").asDouble())
                .put("cross_zone", prices.path("cross_zone").asDouble())
                .put("waste", prices.path("waste").asDouble())
                .put("late_fail", prices.path("late_fail").asDouble());
    }

    private void faults() {
        ArrayNode faults = scenario.putArray(ScenarioFile.FAULT_KEY);
        for (JsonNode fault : day.path("troubles")) {
            ObjectNode table = faults.addObject()
                    .put("kind", fault.path("kind").asText())
                    .put("at_s", fault.path("at").asDouble() / S)
                    .put("length_s", fault.path("len").asDouble() / S)
                    .put("size", fault.path("size").asDouble())
                    .put("extra", fault.path("extra").asDouble());
            if (fault.path("kind").asText().equals("heavy_tail")) {
                table.putArray("on").add(fault.path("which").asInt());
            } else if (!fault.path("on").isEmpty()) {
                table.set("on", fault.path("on"));
            }
        }
    }
}
