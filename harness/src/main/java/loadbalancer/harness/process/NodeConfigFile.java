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

    /** The object that the simulator's first message gives an instance, by its names and units. */
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
