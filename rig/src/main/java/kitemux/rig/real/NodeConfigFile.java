package kitemux.rig.real;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;
import kitemux.Balancer.RequestClass;
import kitemux.Balancer.Settings;

/** What the platform writes for a node. */
final class NodeConfigFile {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** The most of both that the platform's pages give a node. */
    private static final int SOCKETS = 1_024;

    private static final int MEMORY_MB = 192;

    private NodeConfigFile() {}

    /**
     * Puts it in place whole.
     *
     * @param known the list as the node had it last
     * @param fleet the fleet of processes that it takes part in, or null
     */
    static void write(
            Path file,
            String name,
            String listen,
            String discovery,
            String control,
            long seed,
            ObjectNode known,
            Settings settings,
            long idleUs,
            ObjectNode fleet)
            throws IOException {
        ObjectNode config = JSON.createObjectNode();
        config.put("name", name)
                .put("listen", listen)
                .put("discovery", discovery)
                .put("control", control)
                .put("seed", String.format("%016x", seed));
        config.putObject("limits").put("cores", 1.0).put("memory_mb", MEMORY_MB).put("sockets", SOCKETS);
        config.set("known", known);
        config.set("settings", settings(settings, idleUs));
        if (fleet != null) {
            config.set("fleet", fleet);
        }
        Path whole = Files.write(file.resolveSibling(file.getFileName() + ".new"), JSON.writeValueAsBytes(config));
        Files.move(whole, file, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The object that the simulator's first message gives an instance, by its names and units. */
    private static ObjectNode settings(Settings from, long idleUs) {
        ObjectNode to = JSON.createObjectNode();
        to.put("balancers", from.nodes)
                .put("me", from.me)
                .put("myZone", from.zones.get(from.myZone))
                .put("countedBy", "request")
                .put("membershipMode", "pushed")
                .put("quantumUs", from.tickUs);
        ArrayNode zones = to.putArray("zones");
        from.zones.forEach(zones::add);
        ArrayNode classes = to.putArray("classes");
        for (RequestClass c : from.classes) {
            classes.addObject()
                    .put("name", c.name())
                    .put("onTimeUs", c.aimUs())
                    .put("giveUpUs", c.deadlineUs())
                    .put("importance", c.worth())
                    .put("lateWorth", c.lateWorth())
                    .put("repeat", c.repeat().name().toLowerCase(Locale.ROOT))
                    .put("group", "all")
                    .put("windowUs", c.windowUs())
                    .put("stream", c.stream());
        }
        to.putObject("callers").put("marksRetry", true);
        to.putObject("limits")
                .put("attemptsCap", from.maxAttempts)
                .put("parallelTries", from.secondCopies)
                .put("cancelling", from.cancel)
                .put("probes", from.probes)
                .put("dialTimeoutUs", from.connectTimeoutUs)
                .put("connIdleUs", idleUs)
                .put("retryAfter", false)
                .put("maxRetryAfterUs", 0);
        to.putObject("rules")
                .put("drainGraceUs", from.drainGraceUs)
                .put("coldFrom", from.coldFrom)
                .put("coldUs", from.coldUs)
                .put("overloadFactor", from.fallMultiple)
                .put("fallUs", from.fallUs);
        to.putObject("costs").put("crossZone", from.crossZonePrice);
        to.putObject("extra").put("warmKeys", from.warmKeys);
        to.putObject("report")
                .put("via", "answers")
                .putArray("fields")
                .add("depth")
                .add("concurrent");
        return to;
    }
}
