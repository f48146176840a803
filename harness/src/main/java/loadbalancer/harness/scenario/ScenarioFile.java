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

/** Reads a scenario from TOML. What is left out has the middle of the ranges of the deployment in service. */
public final class ScenarioFile {
    private static final TomlMapper TOML = new TomlMapper();
    private static final double DAY_S = 86_400;
    private static final String REPEATABLE = "safe";
    private static final List<String> REPEATS = List.of(REPEATABLE, "unsafe");

    /** The key of the tables of faults. */
    static final String FAULT_KEY = "fault";
    /** What files and recorded commands called it before; they stay readable. */
    private static final String OLD_FAULT_KEY = "trouble";

    private ScenarioFile() {}

    /**
     * @param overrides values that go before the file's, by path, as {@code load.per_second} or {@code
     *    fault.0.size}
     * @param faultKinds the kinds of faults that a file may name
     */
    public static Scenario read(Path file, Map<String, String> overrides, List<String> faultKinds)
            throws BadScenarioException {
        try {
            return parse(Files.readString(file), overrides, faultKinds);
        } catch (IOException e) {
            throw new BadScenarioException(List.of(file + ": cannot be read: " + e.getMessage()));
        }
    }

    /** The same from the text of a file. */
    public static Scenario parse(String toml, Map<String, String> overrides, List<String> faultKinds)
            throws BadScenarioException {
        List<String> problems = new ArrayList<>();
        JsonNode tree;
        try {
            tree = TOML.readTree(toml);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            throw new BadScenarioException(
                    List.of("line " + (at == null ? "?" : at.getLineNr()) + ": no TOML: " + e.getOriginalMessage()));
        }
        renameOldFaultKey(tree);
        overrides.forEach((path, value) -> override(tree, withoutOldFaultKey(path), value, problems));
        Scenario read = scenario(new Fields("", tree, problems), faultKinds);
        if (!problems.isEmpty()) {
            throw new BadScenarioException(problems);
        }
        return read;
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
            // A bare word, as people write one on a command line.
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
            problems.add(path + " = " + value + ": must name a key, as load.per_second or fault.0.size");
        }
    }

    private static Scenario scenario(Fields file, List<String> kinds) {
        String name = file.text("name", null);
        long length = file.seconds("length_s", 40, 1, DAY_S);
        List<Scenario.ServerKind> servers = servers(file.tables("server"));
        Scenario.Fleet fleet = fleet(file.table("fleet"), servers.size());
        List<Scenario.RequestClass> classes = classes(file.tables("class"));
        Scenario read = new Scenario(
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
                faults(file.tables(FAULT_KEY), kinds, length, Math.max(fleet.servers(), classes.size())));
        file.end();
        double shares = read.classes().stream()
                .mapToDouble(Scenario.RequestClass::share)
                .sum();
        file.require(
                Math.abs(shares - 1) < 0.001,
                String.format(Locale.ROOT, "class shares add up to %.3f: must add up to 1", shares));
        return read;
    }

    private static Scenario.Fleet fleet(Fields f, int kinds) {
        int nodes = f.count("nodes", 3, 1, 10_000);
        int servers = f.count("servers", 12, 1, 100_000);
        List<String> zones = f.words("zones", List.of("a", "b", "c"));
        Scenario.Fleet fleet = new Scenario.Fleet(
                nodes,
                servers,
                zones,
                f.seconds("ready_after_s", 1.2, 0, 60),
                f.counts("node_zones", nodes, 0, zones.size() - 1),
                f.counts("server_zones", servers, 0, zones.size() - 1),
                f.counts("server_kinds", servers, 0, kinds - 1),
                f.numbers("speeds", servers, 0.001, 1_000));
        f.end();
        return fleet;
    }

    private static Scenario.Load load(Fields f, int zones) {
        Scenario.Load load = new Scenario.Load(
                f.number("per_second", 80, 0.001, 1e6),
                f.number("zone_skew", 0.3, 0, 1),
                f.count("keys", 1_000, 0, 10_000_000),
                f.number("key_zipf", 0.75, 0, 3),
                f.numbers("zone_shares", zones, 0, 1),
                f.numbers("shape", -1, 0, 1_000));
        f.end();
        return load;
    }

    private static List<Scenario.RequestClass> classes(List<Fields> tables) {
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
        for (Fields f : tables) {
            classes.add(new Scenario.RequestClass(
                    f.text("name", null),
                    f.number("share", 0, 0, 1),
                    f.millis("work_ms", 50, 0.01, 1e6),
                    f.number("cv", 1, 0, 5),
                    f.number("attempt_noise", 0.35, 0, 5),
                    f.millis("aim_ms", 400, 1, 1e7),
                    f.millis("deadline_ms", 2_000, 1, 1e7),
                    f.number("worth", 1, 0, 1e6),
                    REPEATABLE.equals(f.word("effect", REPEATABLE, REPEATS))
                            ? Idempotency.IDEMPOTENT
                            : Idempotency.NON_IDEMPOTENT));
            f.end();
        }
        return classes;
    }

    private static Scenario.Clients clients(Fields f) {
        Scenario.Clients clients = new Scenario.Clients(
                f.count("tries", 3, 1, 20),
                f.number("try_share", 0.55, 0.01, 1),
                f.millis("backoff_ms", 100, 0, 60_000),
                f.number("leaving", 0.02, 0, 1),
                f.yes("marks_repeats", true),
                f.seconds("front_notice_s", 2.3, 0, 60));
        f.end();
        return clients;
    }

    private static Scenario.Net net(Fields f) {
        Scenario.Net net = new Scenario.Net(
                f.millis("same_zone_ms", 0.2, 0, 1e4),
                f.millis("cross_zone_ms", 8, 0, 1e4),
                f.millis("client_ms", 0.7, 0, 1e4),
                f.number("jitter", 0.2, 0, 1),
                f.millis("connect_timeout_ms", 200, 1, 60_000),
                f.count("handshake_trips", 1, 0, 10),
                f.millis("handshake_work_ms", 1.5, 0, 1e4),
                f.count("connections_per_core", 750, 1, 1_000_000),
                f.seconds("idle_s", 60, 0.1, 3_600));
        f.end();
        return net;
    }

    private static Scenario.ServerList list(Fields f) {
        Scenario.ServerList list = new Scenario.ServerList(
                f.seconds("add_s", 1.4, 0, 60),
                f.seconds("change_s", 0.4, 0, 60),
                f.seconds("death_s", 2.9, 0, 60),
                f.seconds("silence_s", 8, 0, 120),
                f.millis("spread_ms", 300, 0, 60_000));
        f.end();
        return list;
    }

    private static List<Scenario.ServerKind> servers(List<Fields> tables) {
        List<Fields> given =
                tables.isEmpty() ? List.of(new Fields("server", MissingNode.getInstance(), new ArrayList<>())) : tables;
        return given.stream().map(ScenarioFile::server).toList();
    }

    private static Scenario.ServerKind server(Fields f) {
        Scenario.ServerKind kind = new Scenario.ServerKind(
                f.count("cores", 1, 1, 1_024),
                f.number("speed", 0.8, 0.01, 100),
                f.number("speed_cv", 0.2, 0, 2),
                f.count("slots", 16, 1, 100_000),
                f.count("queue", 24, 0, 1_000_000),
                f.number("thrash", 0.09, 0, 10),
                f.count("thrash_at", 10, 0, 100_000),
                f.number("cold_from", 0.4, 0.01, 1),
                f.seconds("cold_s", 6, 0, 600),
                f.seconds("pause_every_s", 4, 0, 3_600),
                f.millis("pause_ms", 150, 0, 60_000),
                f.number("pause_grow", 0.3, 0, 10),
                f.number("error_rate", 0.001, 0, 1),
                f.count("keys_kept", 13, 0, 1_000_000),
                f.seconds("keys_kept_s", 6, 0, 3_600),
                f.number("key_gain", 0.5, 0, 0.99),
                f.millis("report_every_ms", 250, 1, 60_000),
                f.millis("report_delay_ms", 70, 0, 60_000),
                f.number("report_noise", 0.09, 0, 2),
                f.yes("drops_expired", true));
        f.end();
        return kind;
    }

    private static Scenario.Rules rules(Fields f) {
        Scenario.Rules rules = new Scenario.Rules(
                f.count("max_attempts", 4, 1, 100),
                f.yes("second_copies", true),
                f.yes("cancel", true),
                f.millis("drain_grace_ms", 1_000, 0, 1e6),
                f.millis("answer_grace_ms", 50, 0, 1e5),
                f.number("fall_multiple", 3, 0.1, 100),
                f.millis("fall_ms", 3_000, 1, 1e6),
                f.seconds("down_s", 5, 0, 600));
        f.end();
        return rules;
    }

    private static Scenario.Prices prices(Fields f) {
        Scenario.Prices prices = new Scenario.Prices(
                f.number("whole", 0.35, 0, 1),
                f.number("worst_window", 0.45, 0, 1),
                f.number("worst_class", 0.2, 0, 1),
                f.number("cross_zone", 0.029, 0, 1),
                f.number("waste", 0.1, 0, 1),
                f.number("late_fail", 0.03, 0, 1));
        f.end();
        return prices;
    }

    private static List<Scenario.FaultSpec> faults(
            List<Fields> tables, List<String> kinds, long lengthUs, int numbers) {
        List<Scenario.FaultSpec> faults = new ArrayList<>();
        for (Fields f : tables) {
            faults.add(new Scenario.FaultSpec(
                    f.word("kind", null, kinds),
                    f.seconds("at_s", 0, 0, lengthUs / 1e6),
                    f.seconds("length_s", 10, 0, DAY_S),
                    f.number("part", 0.1, 0, 1),
                    f.number("size", 1, 0, 1_000),
                    f.number("extra", 0, 0, 1_000),
                    f.counts("on", -1, 0, numbers - 1)));
            f.end();
        }
        return faults;
    }
}
