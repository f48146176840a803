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

/** The ways of nodes to app servers, a fault link for each pair, on a loop of their own. */
final class ServerLinks implements Links.Carrier {
    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<String, Map<Integer, FaultLink>> byServer = new LinkedHashMap<>();
    private final Map<String, Long> slower = new HashMap<>();
    private final Set<String> mute = new HashSet<>();

    ServerLinks(EventLoop loop, SplittableRandom random) {
        this.loop = loop;
        this.random = random;
    }

    /** One more; called from outside the loop. */
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

    /** The server takes connections, or none any more: a link that still did would tell another story. */
    void follow(String server, boolean open) {
        to(server).forEach(link -> link.setOpen(open));
    }

    @Override
    public void slow(String server, long us) {
        slower.put(server, us);
        hurt(server);
    }

    @Override
    public void mute(String server, boolean to) {
        if (to) {
            mute.add(server);
        } else {
            mute.remove(server);
        }
        hurt(server);
    }

    /** From all that is wrong with a server's links: the end of one fault must not end another. */
    private void hurt(String server) {
        Faults slow = Faults.delayed(slower.getOrDefault(server, 0L), 0);
        for (FaultLink link : to(server)) {
            link.set(Direction.TO_TARGET, slow);
            link.set(Direction.FROM_TARGET, mute.contains(server) ? Faults.BLOCKED : slow);
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
