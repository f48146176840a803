package loadbalancer.harness.simulation;

import java.util.Set;
import java.util.TreeSet;
import loadbalancer.policy.BalancerSettings;

/** Base of simulated nodes and node processes: name, zone, settings, readiness, cordons and history. */
public abstract class BaseNode implements NodePort {
    private final String name;
    private final int zone;
    private final BalancerSettings settings;
    private final Testbed testbed;
    private final NodeHistory history;
    private final Set<String> cordoned = new TreeSet<>();
    private boolean ready;
    private long stateChangedAtUs;
    private int incarnation;

    /** Creates node {@code number} of the scenario. */
    protected BaseNode(int number, Testbed testbed) {
        name = "n" + number;
        zone = testbed.scenario().fleet().zoneOfNode(number);
        settings = testbed.settings(number);
        this.testbed = testbed;
        history = new NodeHistory(name, testbed.history());
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

    /** Returns the writer of its events. */
    public final NodeHistory history() {
        return history;
    }

    protected final Testbed testbed() {
        return testbed;
    }

    protected final BalancerSettings settings() {
        return settings;
    }

    /** Returns the servers that operators have cordoned at this node. */
    protected final Set<String> cordoned() {
        return cordoned;
    }

    /** Adds or removes a cordon; returns false if that changes nothing. */
    protected final boolean updateCordon(String serverId, boolean add) {
        return add ? cordoned.add(serverId) : cordoned.remove(serverId);
    }

    protected final void setReady(boolean ready) {
        this.ready = ready;
        stateChangedAtUs = testbed.time().nowUs();
    }

    /** Incremented on each start and end: a task scheduled by one incarnation must not run in another. */
    protected final int incarnation() {
        return incarnation;
    }

    protected final int nextIncarnation() {
        return ++incarnation;
    }

    /** Records that the node has received the request. */
    protected final void recordRequest(ClientRequest request) {
        String className = settings.classes.get(request.classIndex()).name();
        history.request(request.id(), className, request.remainingUs());
    }
}
