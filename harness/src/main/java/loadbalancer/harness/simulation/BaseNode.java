package loadbalancer.harness.simulation;

import java.util.Set;
import java.util.TreeSet;
import loadbalancer.policy.BalancerSettings;

/** What a simulated node and a process have in common: place, settings, readiness, cordons and history. */
public abstract class BaseNode implements NodePort {
    private final String name;
    private final int zone;
    private final BalancerSettings settings;
    private final World world;
    private final NodeHistory history;
    private final Set<String> cordoned = new TreeSet<>();
    private boolean ready;
    private long stateChangedAtUs;
    private int incarnation;

    /** Node {@code number} of the world's scenario. */
    protected BaseNode(int number, World world) {
        name = "n" + number;
        zone = world.scenario().fleet().zoneOfNode(number);
        settings = world.settings(number);
        this.world = world;
        history = new NodeHistory(name, world.history());
    }

    @Override
    public final String name() {
        return name;
    }

    @Override
    public final int zone() {
        return zone;
    }

    @Override
    public final boolean isReady() {
        return ready;
    }

    @Override
    public final long stateChangedAtUs() {
        return stateChangedAtUs;
    }

    /** Where its events are written. */
    public final NodeHistory history() {
        return history;
    }

    protected final World world() {
        return world;
    }

    protected final BalancerSettings settings() {
        return settings;
    }

    /** The servers that operators have cordoned at it. */
    protected final Set<String> cordoned() {
        return cordoned;
    }

    /** Adds or removes a cordon; false if nothing changes by that. */
    protected final boolean updateCordon(String serverId, boolean add) {
        return add ? cordoned.add(serverId) : cordoned.remove(serverId);
    }

    protected final void setReady(boolean ready) {
        this.ready = ready;
        stateChangedAtUs = world.time().nowUs();
    }

    /** Counts its starts and ends: what one incarnation has scheduled must not run in another. */
    protected final int incarnation() {
        return incarnation;
    }

    protected final int nextIncarnation() {
        return ++incarnation;
    }

    /** The request has reached it. */
    protected final void recordRequest(ClientRequest request) {
        String className = settings.classes.get(request.classIndex()).name();
        history.request(request.id(), className, request.remainingUs());
    }
}
