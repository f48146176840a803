package loadbalancer.harness.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;

/** Writes the configuration file of a node, as the platform does. */
final class NodeConfigFile {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Maximum number of sockets that the platform gives a node. */
    private static final int SOCKETS = 1_024;

    /** Maximum memory that the platform gives a node. */
    private static final int MEMORY_MB = 192;

    private NodeConfigFile() {}

    /**
     * Writes the file and moves it into place, so that a node never reads a part of it.
     *
     * @param known the endpoint list that the node starts with
     * @param fleet the membership configuration of the fleet, or null for none
     */
    static void write(
            Path file,
            String name,
            String listen,
            String discovery,
            String control,
            long seed,
            ObjectNode known,
            BalancerSettings settings,
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

    /** Returns the settings object with the names and units of the simulator's first message to an instance. */
    private static ObjectNode settings(BalancerSettings from, long idleUs) {
        ObjectNode to = JSON.createObjectNode();
        to.put("balancers", from.nodes)
                .put("me", from.nodeIndex)
                .put("myZone", from.zones.get(from.localZone))
                .put("countedBy", "request")
                .put("membershipMode", "pushed")
                .put("quantumUs", from.tickUs);
        ArrayNode zones = to.putArray("zones");
        from.zones.forEach(zones::add);
        ArrayNode classes = to.putArray("classes");
        for (RequestClass c : from.classes) {
            classes.addObject()
                    .put("name", c.name())
                    .put("onTimeUs", c.latencyObjectiveUs())
                    .put("giveUpUs", c.deadlineUs())
                    .put("importance", c.priorityWeight())
                    .put("lateWorth", c.lateWeight())
                    .put("repeat", c.idempotency() == Idempotency.IDEMPOTENT ? "safe" : "unsafe")
                    .put("group", "all")
                    .put("windowUs", c.deduplicationWindowUs())
                    .put("stream", c.streaming());
        }
        to.putObject("callers").put("marksRetry", true);
        to.putObject("limits")
                .put("attemptsCap", from.maxAttempts)
                .put("parallelTries", from.hedging)
                .put("cancelling", from.cancellation)
                .put("probes", from.probes)
                .put("dialTimeoutUs", from.connectTimeoutUs)
                .put("connIdleUs", idleUs)
                .put("retryAfter", false)
                .put("maxRetryAfterUs", 0);
        to.putObject("rules")
                .put("drainGraceUs", from.drainGraceUs)
                .put("coldFrom", from.warmUpInitialShare)
                .put("coldUs", from.warmUpUs)
                .put("overloadFactor", from.overloadMultiple)
                .put("fallUs", from.overloadUs);
        to.putObject("costs").put("crossZone", from.crossZoneCost);
        to.putObject("extra").put("warmKeys", from.keyAffinity);
        to.putObject("report")
                .put("via", "answers")
                .putArray("fields")
                .add("depth")
                .add("concurrent");
        return to;
    }
}
