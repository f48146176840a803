package loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.policy.Balancer;
import loadbalancer.policy.BalancerSettings;
import loadbalancer.policy.ServiceQBalancer;
import loadbalancer.settings.InvalidSettingException;
import loadbalancer.settings.SettingsReader;

/**
 * The connection to the simulator. Delivers each event on the wire to the balancer of its node, and writes the actions
 * of the balancer back. Makes no decisions itself.
 */
final class SimulatorConnection {
    private final WireLineReader line;
    private final WireLineWriter reply;
    private final Rosters rosters = new Rosters();
    private final BalancerEventDecoder decoder;
    private final Map<String, SimulatedNode> nodes = new HashMap<>();

    SimulatorConnection(InputStream input, OutputStream output) {
        line = new WireLineReader(input);
        reply = new WireLineWriter(output);
        decoder = new BalancerEventDecoder(line, rosters);
    }

    /**
     * Processes the batches of events one by one until the input ends.
     *
     * @throws WireException if the input is malformed; no response to the malformed batch has been written
     */
    void run() throws IOException, WireException {
        while (line.next()) {
            if (!line.name().isEmpty()) {
                answerBatch();
            }
        }
    }

    private void answerBatch() throws IOException, WireException {
        if (!line.isNamed(WireNames.BEGIN_BATCH)) {
            throw line.invalid("a batch must start with begin_batch, not " + line.name());
        }
        long nowUs = line.requiredLong(WireNames.NOW_US);
        line.requireNext();
        while (!line.isNamed(WireNames.END_BATCH)) {
            handleEvent(nowUs);
            line.requireNext();
        }
        reply.flush();
    }

    private void handleEvent(long nowUs) throws IOException, WireException {
        EventType type = EventType.of(line);
        if (type == EventType.ROSTER) {
            rosters.read(line);
            return;
        }
        String nodeName = line.requiredText(WireNames.NODE);
        reply.setNode(nodeName);
        if (type == EventType.BOOT) {
            boot(nodeName);
            return;
        }
        SimulatedNode node = nodes.get(nodeName);
        if (node == null) {
            throw line.invalidField(WireNames.NODE, "names a node that was never started: " + nodeName);
        }
        if (type == EventType.SHUTDOWN) {
            nodes.remove(nodeName);
            return;
        }
        deliver(decoder.decode(type, node, nowUs), node.balancer());
    }

    /** Delivers an event. An exception thrown by the balancer is written as a fault and does not end the connection. */
    private void deliver(Consumer<Balancer> event, Balancer balancer) {
        try {
            event.accept(balancer);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void boot(String nodeName) throws WireException {
        BalancerSettings settings = readSettings();
        long seed = line.requiredLong(WireNames.SEED);
        try {
            Balancer balancer = new ServiceQBalancer(settings, seed, reply);
            nodes.put(nodeName, SimulatedNode.of(balancer, settings));
        } catch (IllegalArgumentException e) {
            throw line.invalid("boot: " + e.getMessage());
        }
    }

    private BalancerSettings readSettings() throws WireException {
        Map<String, String> values = new HashMap<>();
        for (int field = 0; field < line.fieldCount(); field++) {
            values.put(line.key(field), line.value(field));
        }
        try {
            return SettingsReader.read(values);
        } catch (InvalidSettingException e) {
            throw line.invalidField(e.setting(), e.problem());
        }
    }
}
