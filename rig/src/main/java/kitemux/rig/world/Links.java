package kitemux.rig.world;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import kitemux.rig.scenario.Scenario;

/** The network between zones: how long a message takes, and what does not come through. */
public final class Links {
    private final Scenario.Net net;
    private final Set<String> cut = new HashSet<>();

    Links(Scenario.Net net) {
        this.net = net;
    }

    Scenario.Net net() {
        return net;
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
