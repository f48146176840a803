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
    private final WireLineReader reader;
    private final WireLineWriter writer;
    private final Rosters rosters = new Rosters();
    private final BalancerEventDecoder decoder;
    private final Map<String, SimulatedNode> nodes = new HashMap<>();

    SimulatorConnection(InputStream input, OutputStream output) {
        reader = new WireLineReader(input);
        writer = new WireLineWriter(output);
        decoder = new BalancerEventDecoder(reader, rosters);
    }

    /**
     * Processes the batches of events one by one until the input ends.
     *
     * @throws WireException if the input is malformed; no response to the malformed batch has been written
     */
    void run() throws IOException, WireException {
        while (reader.next()) {
            if (!reader.name().isEmpty()) {
                processBatch();
            }
        }
    }

    private void processBatch() throws IOException, WireException {
        if (!reader.isNamed(WireNames.BEGIN_BATCH)) {
            throw reader.invalid("a batch must start with begin_batch, not " + reader.name());
        }
        long nowUs = reader.requiredLong(WireNames.NOW_US);
        reader.requireNext();
        while (!reader.isNamed(WireNames.END_BATCH)) {
            handleEvent(nowUs);
            reader.requireNext();
        }
        writer.flush();
    }

    private void handleEvent(long nowUs) throws IOException, WireException {
        EventType type = EventType.of(reader);
        if (type == EventType.ROSTER) {
            rosters.read(reader);
            return;
        }
        String nodeName = reader.requiredText(WireNames.NODE);
        writer.setNode(nodeName);
        if (type == EventType.BOOT) {
            boot(nodeName);
            return;
        }
        SimulatedNode node = nodes.get(nodeName);
        if (node == null) {
            throw reader.invalidField(WireNames.NODE, "names a node that was never started: " + nodeName);
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
            writer.fault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void boot(String nodeName) throws WireException {
        BalancerSettings settings = readSettings();
        long seed = reader.requiredLong(WireNames.SEED);
        try {
            Balancer balancer = new ServiceQBalancer(settings, seed, writer);
            nodes.put(nodeName, SimulatedNode.of(balancer, settings));
        } catch (IllegalArgumentException e) {
            throw reader.invalid("boot: " + e.getMessage());
        }
    }

    private BalancerSettings readSettings() throws WireException {
        Map<String, String> values = new HashMap<>();
        for (int field = 0; field < reader.fieldCount(); field++) {
            values.put(reader.key(field), reader.value(field));
        }
        try {
            return SettingsReader.read(values);
        } catch (InvalidSettingException e) {
            throw reader.invalidField(e.setting(), e.problem());
        }
    }
}
