package loadbalancer.harness.process;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.harness.process.FaultLink.Direction;
import loadbalancer.harness.process.FaultLink.Faults;
import loadbalancer.harness.simulation.Links;

/** The links of nodes to app servers: a fault link for each pair, all on one event loop. */
final class ServerLinks implements Links.Carrier {
    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<String, Map<Integer, FaultLink>> byServer = new LinkedHashMap<>();
    private final Map<String, Long> extraDelaysUs = new HashMap<>();
    private final Set<String> mutedServers = new HashSet<>();

    ServerLinks(EventLoop loop, SplittableRandom random) {
        this.loop = loop;
        this.random = random;
    }

    /** Adds the link of a node to an app server; must not be called on the loop. */
    void add(int node, String server, InetSocketAddress target) {
        byServer.computeIfAbsent(server, id -> new LinkedHashMap<>())
                .put(node, new FaultLink(loop, "127.4.0." + (1 + node), target, random.split()));
    }

    FaultLink link(int node, String server) {
        return byServer.get(server).get(node);
    }

    private Iterable<FaultLink> to(String server) {
        return byServer.getOrDefault(server, Map.of()).values();
    }

    /** Makes the links accept connections only while the server does, so that no node can connect to a dead server. */
    void setOpen(String server, boolean open) {
        to(server).forEach(link -> link.setOpen(open));
    }

    @Override
    public void slow(String server, long us) {
        extraDelaysUs.put(server, us);
        applyFaults(server);
    }

    @Override
    public void mute(String server, boolean to) {
        if (to) {
            mutedServers.add(server);
        } else {
            mutedServers.remove(server);
        }
        applyFaults(server);
    }

    /** Applies all present faults of a server's links together, so that the end of one fault does not end another. */
    private void applyFaults(String server) {
        Faults delayed = Faults.delayed(extraDelaysUs.getOrDefault(server, 0L), 0);
        for (FaultLink link : to(server)) {
            link.set(Direction.TO_TARGET, delayed);
            link.set(Direction.FROM_TARGET, mutedServers.contains(server) ? Faults.BLOCKED : delayed);
        }
    }

    @Override
    public void reset(String server) {
        to(server).forEach(FaultLink::reset);
    }

    void close() {
        byServer.values().forEach(links -> links.values().forEach(FaultLink::close));
    }
}
