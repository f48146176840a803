package loadbalancer.harness.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;

/** The network between zones: delays of messages, and links that are blocked. */
public final class Links {
    private final Scenario.Net net;
    private final Set<String> blockedDirections = new HashSet<>();
    private final Map<String, Long> extraDelaysUs = new HashMap<>();
    private final Set<String> mutedServers = new HashSet<>();
    private Carrier carrier;

    /** Applies faults to the real connections of app servers in a run with processes. */
    public interface Carrier {
        /** Delays messages to and from this server by this much more. */
        void slow(String server, long us);

        /** Blocks or unblocks everything that this server sends. */
        void mute(String server, boolean to);

        /** Resets all connections to this server, including those with open requests. */
        void reset(String server);
    }

    Links(Scenario.Net net) {
        this.net = net;
    }

    Scenario.Net net() {
        return net;
    }

    /** From now on applies faults of single servers' links there instead of in the model. */
    public void setCarrier(Carrier carrier) {
        this.carrier = carrier;
    }

    /** Draws the one-way delay of a message between a node and an app server. */
    long delay(SplittableRandom random, int node, AppServer server) {
        return delay(random, node, server.zone()) + extraDelaysUs.getOrDefault(server.id(), 0L);
    }

    /** Delays messages to and from this server by this much more from now on. */
    public void setExtraDelay(AppServer server, long us) {
        if (carrier == null) {
            extraDelaysUs.put(server.id(), us);
        } else {
            carrier.slow(server.id(), us);
        }
    }

    /** Drops everything that this server sends, or ends that. The server still receives and processes requests. */
    public void setMuted(AppServer server, boolean muted) {
        if (carrier != null) {
            carrier.mute(server.id(), muted);
        } else if (muted) {
            mutedServers.add(server.id());
        } else {
            mutedServers.remove(server.id());
        }
    }

    boolean isMuted(AppServer server) {
        return mutedServers.contains(server.id());
    }

    /** Resets all connections to this server, including those with open requests. */
    public void reset(AppServer server) {
        if (carrier == null) {
            server.resetConnections();
        } else {
            carrier.reset(server.id());
        }
    }

    /** Draws the one-way delay of a message between two zones. */
    public long delay(SplittableRandom random, int from, int to) {
        return Distributions.delay(random, from == to ? net.sameZoneUs() : net.crossZoneUs(), net.jitter());
    }

    /** Draws the one-way delay of a message between a client and a node. */
    long clientDelay(SplittableRandom random) {
        return Distributions.delay(random, net.clientUs(), net.jitter());
    }

    /** Blocks or unblocks all messages in one direction between two zones. Connections stay open. */
    public void setBlocked(int from, int to, boolean isBlocked) {
        if (isBlocked) {
            blockedDirections.add(from + ">" + to);
        } else {
            blockedDirections.remove(from + ">" + to);
        }
    }

    public boolean isBlocked(int from, int to) {
        return !blockedDirections.isEmpty() && blockedDirections.contains(from + ">" + to);
    }
}
