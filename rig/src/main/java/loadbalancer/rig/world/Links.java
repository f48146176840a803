package loadbalancer.rig.world;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.rig.scenario.Scenario;

/** The network between zones: how long a message takes, and what does not come through. */
public final class Links {
    private final Scenario.Net net;
    private final Set<String> cut = new HashSet<>();
    private final Map<String, Long> slower = new HashMap<>();
    private final Set<String> mute = new HashSet<>();
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
    public void carriedBy(Carrier by) {
        carrier = by;
    }

    /** How long a message takes one way between a node and an app server. */
    long delay(SplittableRandom random, int node, AppServer server) {
        return delay(random, node, server.zone()) + slower.getOrDefault(server.id(), 0L);
    }

    /** From now on each way to this server and back takes so much longer. */
    public void slow(AppServer server, long us) {
        if (carrier == null) {
            slower.put(server.id(), us);
        } else {
            carrier.slow(server.id(), us);
        }
    }

    /** From now on what this server says does not come through, or does again; it hears and works on. */
    public void mute(AppServer server, boolean to) {
        if (carrier != null) {
            carrier.mute(server.id(), to);
        } else if (to) {
            mute.add(server.id());
        } else {
            mute.remove(server.id());
        }
    }

    boolean isMute(AppServer server) {
        return mute.contains(server.id());
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
        return Chance.delay(random, from == to ? net.sameZoneUs() : net.crossZoneUs(), net.jitter());
    }

    /** Between a client and a node of its zone. */
    long clientDelay(SplittableRandom random) {
        return Chance.delay(random, net.clientUs(), net.jitter());
    }

    /**
     * From now on nothing comes through from one zone to another, one way; connections stay open and silent.
     */
    public void cut(int from, int to, boolean off) {
        if (off) {
            cut.add(from + ">" + to);
        } else {
            cut.remove(from + ">" + to);
        }
    }

    public boolean isCut(int from, int to) {
        return !cut.isEmpty() && cut.contains(from + ">" + to);
    }
}
