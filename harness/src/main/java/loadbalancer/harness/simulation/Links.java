package loadbalancer.harness.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.harness.scenario.Scenario;

/** The network between zones: how long a message takes, and what does not come through. */
public final class Links {
    private final Scenario.Net net;
    private final Set<String> cutWays = new HashSet<>();
    private final Map<String, Long> extraDelaysUs = new HashMap<>();
    private final Set<String> mutedServers = new HashSet<>();
    private Carrier carrier;

    /** What carries messages to app servers and back where that is more than a model. */
    public interface Carrier {
        /** Each way to this server and back takes so much longer. */
        void slow(String server, long us);

        /** What this server says does not come through. */
        void mute(String server, boolean to);

        /** All connections to this server break, amid whatever is under way. */
        void reset(String server);
    }

    Links(Scenario.Net net) {
        this.net = net;
    }

    Scenario.Net net() {
        return net;
    }

    /** From now on faults of single servers' links are carried out there and not in the model. */
    public void setCarrier(Carrier carrier) {
        this.carrier = carrier;
    }

    /** How long a message takes one way between a node and an app server. */
    long delay(SplittableRandom random, int node, AppServer server) {
        return delay(random, node, server.zone()) + extraDelaysUs.getOrDefault(server.id(), 0L);
    }

    /** Delays messages to this server and from it by this much more from now on. */
    public void setExtraDelay(AppServer server, long us) {
        if (carrier == null) {
            extraDelaysUs.put(server.id(), us);
        } else {
            carrier.slow(server.id(), us);
        }
    }

    /** Drops what this server sends from now on, or no longer; it receives and works on. */
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

    /** All connections to this server break, amid whatever is under way on them. */
    public void reset(AppServer server) {
        if (carrier == null) {
            server.breakConnections();
        } else {
            carrier.reset(server.id());
        }
    }

    /** How long a message takes one way. */
    public long delay(SplittableRandom random, int from, int to) {
        return Distributions.delay(random, from == to ? net.sameZoneUs() : net.crossZoneUs(), net.jitter());
    }

    /** Between a client and a node of its zone. */
    long clientDelay(SplittableRandom random) {
        return Distributions.delay(random, net.clientUs(), net.jitter());
    }

    /**
     * From now on nothing comes through from one zone to another, one way; connections stay open and silent.
     */
    public void setCut(int from, int to, boolean isCut) {
        if (isCut) {
            cutWays.add(from + ">" + to);
        } else {
            cutWays.remove(from + ">" + to);
        }
    }

    public boolean isCut(int from, int to) {
        return !cutWays.isEmpty() && cutWays.contains(from + ">" + to);
    }
}
