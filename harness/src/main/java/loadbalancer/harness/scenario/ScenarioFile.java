package loadbalancer.harness.scenario;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import loadbalancer.policy.Idempotency;

/**
 * Reads a scenario from TOML. The default of a missing key is the middle of the range in the production deployment.
 */
public final class ScenarioFile {
    private static final TomlMapper TOML = new TomlMapper();
    private static final double DAY_S = 86_400;
    private static final String IDEMPOTENT_EFFECT = "safe";
    private static final List<String> EFFECTS = List.of(IDEMPOTENT_EFFECT, "unsafe");

    /** Key of the tables of faults. */
    static final String FAULT_KEY = "fault";
    /** Former key of the tables of faults, which stored files and recorded commands still use. */
    private static final String OLD_FAULT_KEY = "trouble";

    private ScenarioFile() {}

    /**
     * Reads a scenario from a file.
     *
     * @param overrides values that take precedence over those of the file, by path, such as {@code load.per_second} or
     *     {@code fault.0.size}
     * @param faultKinds the allowed kinds of faults
     * @throws BadScenarioException if the file cannot be read or has invalid values
     */
    public static Scenario read(Path file, Map<String, String> overrides, List<String> faultKinds)
            throws BadScenarioException {
        try {
            return parse(Files.readString(file), overrides, faultKinds);
        } catch (IOException e) {
            throw new BadScenarioException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /** Reads a scenario from TOML text, as {@link #read} does from a file. */
    public static Scenario parse(String toml, Map<String, String> overrides, List<String> faultKinds)
            throws BadScenarioException {
        List<String> problems = new ArrayList<>();
        JsonNode tree;
        try {
            tree = TOML.readTree(toml);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            throw new BadScenarioException(List.of(
                    "line " + (at == null ? "?" : at.getLineNr()) + ": not valid TOML: " + e.getOriginalMessage()));
        }
        renameOldFaultKey(tree);
        overrides.forEach((path, value) -> override(tree, withoutOldFaultKey(path), value, problems));
        Scenario scenario = scenario(new TableReader("", tree, problems), faultKinds);
        if (!problems.isEmpty()) {
            throw new BadScenarioException(problems);
        }
        return scenario;
    }

    private static void renameOldFaultKey(JsonNode tree) {
        if (tree instanceof ObjectNode file && file.has(OLD_FAULT_KEY) && !file.has(FAULT_KEY)) {
            file.set(FAULT_KEY, file.remove(OLD_FAULT_KEY));
        }
    }

    private static String withoutOldFaultKey(String path) {
        String oldPrefix = OLD_FAULT_KEY + ".";
        return path.startsWith(oldPrefix) ? FAULT_KEY + "." + path.substring(oldPrefix.length()) : path;
    }

    private static void override(JsonNode tree, String path, String value, List<String> problems) {
        JsonNode parsed;
        try {
            parsed = TOML.readTree("v = " + value).get("v");
        } catch (JsonProcessingException e) {
            // Not a TOML value: an unquoted string from a command line.
            parsed = TextNode.valueOf(value);
        }
        String[] keys = path.split("\\.");
        JsonNode at = tree;
        for (int i = 0; i < keys.length - 1 && at != null; i++) {
            JsonNode next = at instanceof ArrayNode list && keys[i].matches("\\d{1,4}")
                    ? list.get(Integer.parseInt(keys[i]))
                    : at.get(keys[i]);
            at = next == null && at instanceof ObjectNode table ? table.putObject(keys[i]) : next;
        }
        if (at instanceof ObjectNode table) {
            table.set(keys[keys.length - 1], parsed);
        } else {
            problems.add(path + " = " + value + ": must name a key, such as load.per_second or fault.0.size");
        }
    }

    private static Scenario scenario(TableReader file, List<String> faultKinds) {
        String name = file.string("name", null);
        long length = file.seconds("length_s", 40, 1, DAY_S);
        List<Scenario.ServerKind> servers = servers(file.tables("server"));
        Scenario.Fleet fleet = fleet(file.table("fleet"), servers.size());
        List<Scenario.RequestClass> classes = classes(file.tables("class"));
        Scenario scenario = new Scenario(
                name,
                length,
                fleet,
                load(file.table("load"), fleet.zones().size()),
                classes,
                clients(file.table("clients")),
                net(file.table("net")),
                list(file.table("list")),
                servers,
                rules(file.table("rules")),
                prices(file.table("prices")),
                faults(file.tables(FAULT_KEY), faultKinds, length, Math.max(fleet.servers(), classes.size())));
        file.reportUnknownKeys();
        double shares = scenario.classes().stream()
                .mapToDouble(Scenario.RequestClass::share)
                .sum();
        file.require(
                Math.abs(shares - 1) < 0.001,
                String.format(Locale.ROOT, "class shares add up to %.3f: must add up to 1", shares));
        return scenario;
    }

    private static Scenario.Fleet fleet(TableReader f, int serverKinds) {
        int nodes = f.integer("nodes", 3, 1, 10_000);
        int servers = f.integer("servers", 12, 1, 100_000);
        List<String> zones = f.strings("zones", List.of("a", "b", "c"));
        Scenario.Fleet fleet = new Scenario.Fleet(
                nodes,
                servers,
                zones,
                f.seconds("ready_after_s", 1.2, 0, 60),
                f.integers("node_zones", nodes, 0, zones.size() - 1),
                f.integers("server_zones", servers, 0, zones.size() - 1),
                f.integers("server_kinds", servers, 0, serverKinds - 1),
                f.numbers("speeds", servers, 0.001, 1_000));
        f.reportUnknownKeys();
        return fleet;
    }

    private static Scenario.Load load(TableReader f, int zones) {
        Scenario.Load load = new Scenario.Load(
                f.number("per_second", 80, 0.001, 1e6),
                f.number("zone_skew", 0.3, 0, 1),
                f.integer("keys", 1_000, 0, 10_000_000),
                f.number("key_zipf", 0.75, 0, 3),
                f.numbers("zone_shares", zones, 0, 1),
                f.numbers("shape", -1, 0, 1_000));
        f.reportUnknownKeys();
        return load;
    }

    private static List<Scenario.RequestClass> classes(List<TableReader> tables) {
        if (tables.isEmpty()) {
            return List.of(
                    new Scenario.RequestClass(
                            "search", 0.37, 55_000, 1, 0.35, 400_000, 2_000_000, 1, Idempotency.IDEMPOTENT),
                    new Scenario.RequestClass(
                            "book-seat", 0.27, 110_000, 1.2, 0.35, 2_000_000, 6_000_000, 5, Idempotency.NON_IDEMPOTENT),
                    new Scenario.RequestClass(
                            "post-trip", 0.19, 145_000, 1.2, 0.35, 2_500_000, 5_000_000, 2, Idempotency.NON_IDEMPOTENT),
                    new Scenario.RequestClass(
                            "settle", 0.17, 150_000, 1.2, 0.35, 2_500_000, 5_000_000, 3, Idempotency.NON_IDEMPOTENT));
        }
        List<Scenario.RequestClass> classes = new ArrayList<>();
        for (TableReader f : tables) {
            classes.add(new Scenario.RequestClass(
                    f.string("name", null),
                    f.number("share", 0, 0, 1),
                    f.millis("work_ms", 50, 0.01, 1e6),
                    f.number("cv", 1, 0, 5),
                    f.number("attempt_noise", 0.35, 0, 5),
                    f.millis("aim_ms", 400, 1, 1e7),
                    f.millis("deadline_ms", 2_000, 1, 1e7),
                    f.number("worth", 1, 0, 1e6),
                    IDEMPOTENT_EFFECT.equals(f.choice("effect", IDEMPOTENT_EFFECT, EFFECTS))
                            ? Idempotency.IDEMPOTENT
                            : Idempotency.NON_IDEMPOTENT));
            f.reportUnknownKeys();
        }
        return classes;
    }

    private static Scenario.Clients clients(TableReader f) {
        Scenario.Clients clients = new Scenario.Clients(
                f.integer("tries", 3, 1, 20),
                f.number("try_share", 0.55, 0.01, 1),
                f.millis("backoff_ms", 100, 0, 60_000),
                f.number("leaving", 0.02, 0, 1),
                f.bool("marks_repeats", true),
                f.seconds("front_notice_s", 2.3, 0, 60));
        f.reportUnknownKeys();
        return clients;
    }

    private static Scenario.Net net(TableReader f) {
        Scenario.Net net = new Scenario.Net(
                f.millis("same_zone_ms", 0.2, 0, 1e4),
                f.millis("cross_zone_ms", 8, 0, 1e4),
                f.millis("client_ms", 0.7, 0, 1e4),
                f.number("jitter", 0.2, 0, 1),
                f.millis("connect_timeout_ms", 200, 1, 60_000),
                f.integer("handshake_trips", 1, 0, 10),
                f.millis("handshake_work_ms", 1.5, 0, 1e4),
                f.integer("connections_per_core", 750, 1, 1_000_000),
                f.seconds("idle_s", 60, 0.1, 3_600));
        f.reportUnknownKeys();
        return net;
    }

    private static Scenario.ServerList list(TableReader f) {
        Scenario.ServerList list = new Scenario.ServerList(
                f.seconds("add_s", 1.4, 0, 60),
                f.seconds("change_s", 0.4, 0, 60),
                f.seconds("death_s", 2.9, 0, 60),
                f.seconds("silence_s", 8, 0, 120),
                f.millis("spread_ms", 300, 0, 60_000));
        f.reportUnknownKeys();
        return list;
    }

    private static List<Scenario.ServerKind> servers(List<TableReader> tables) {
        List<TableReader> present = tables.isEmpty()
                ? List.of(new TableReader("server", MissingNode.getInstance(), new ArrayList<>()))
                : tables;
        return present.stream().map(ScenarioFile::server).toList();
    }

    private static Scenario.ServerKind server(TableReader f) {
        Scenario.ServerKind kind = new Scenario.ServerKind(
                f.integer("cores", 1, 1, 1_024),
                f.number("speed", 0.8, 0.01, 100),
                f.number("speed_cv", 0.2, 0, 2),
                f.integer("slots", 16, 1, 100_000),
                f.integer("queue", 24, 0, 1_000_000),
                f.number("thrash", 0.09, 0, 10),
                f.integer("thrash_at", 10, 0, 100_000),
                f.number("cold_from", 0.4, 0.01, 1),
                f.seconds("cold_s", 6, 0, 600),
                f.seconds("pause_every_s", 4, 0, 3_600),
                f.millis("pause_ms", 150, 0, 60_000),
                f.number("pause_grow", 0.3, 0, 10),
                f.number("error_rate", 0.001, 0, 1),
                f.integer("keys_kept", 13, 0, 1_000_000),
                f.seconds("keys_kept_s", 6, 0, 3_600),
                f.number("key_gain", 0.5, 0, 0.99),
                f.millis("report_every_ms", 250, 1, 60_000),
                f.millis("report_delay_ms", 70, 0, 60_000),
                f.number("report_noise", 0.09, 0, 2),
                f.bool("drops_expired", true));
        f.reportUnknownKeys();
        return kind;
    }

    private static Scenario.Rules rules(TableReader f) {
        Scenario.Rules rules = new Scenario.Rules(
                f.integer("max_attempts", 4, 1, 100),
                f.bool("second_copies", true),
                f.bool("cancel", true),
                f.millis("drain_grace_ms", 1_000, 0, 1e6),
                f.millis("answer_grace_ms", 50, 0, 1e5),
                f.number("fall_multiple", 3, 0.1, 100),
                f.millis("fall_ms", 3_000, 1, 1e6),
                f.seconds("down_s", 5, 0, 600));
        f.reportUnknownKeys();
        return rules;
    }

    private static Scenario.Prices prices(TableReader f) {
        Scenario.Prices prices = new Scenario.Prices(
                f.number("whole", 0.35, 0, 1),
                f.number("worst_window", 0.45, 0, 1),
                f.number("worst_class", 0.2, 0, 1),
                f.number("cross_zone", 0.029, 0, 1),
                f.number("waste", 0.1, 0, 1),
                f.number("late_fail", 0.03, 0, 1));
        f.reportUnknownKeys();
        return prices;
    }

    private static List<Scenario.FaultSpec> faults(
            List<TableReader> tables, List<String> faultKinds, long lengthUs, int targetCount) {
        List<Scenario.FaultSpec> faults = new ArrayList<>();
        for (TableReader f : tables) {
            faults.add(new Scenario.FaultSpec(
                    f.choice("kind", null, faultKinds),
                    f.seconds("at_s", 0, 0, lengthUs / 1e6),
                    f.seconds("length_s", 10, 0, DAY_S),
                    f.number("part", 0.1, 0, 1),
                    f.number("size", 1, 0, 1_000),
                    f.number("extra", 0, 0, 1_000),
                    f.integers("on", -1, 0, targetCount - 1)));
            f.reportUnknownKeys();
        }
        return faults;
    }
}
