package loadbalancer.harness.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.harness.history.Event.Kind;
import loadbalancer.harness.history.History;
import loadbalancer.harness.scenario.Scenario;
import loadbalancer.harness.time.Timeline;
import loadbalancer.policy.ListKind;
import loadbalancer.policy.ServerEntry;
import loadbalancer.policy.ServerState;

/**
 * The endpoint list in discovery, and the state of the list at each node's agent. Every change reaches each agent in
 * order, after a delay of its own. While discovery is down no change reaches any agent.
 */
public final class ListModel {
    private final Timeline time;
    private final History history;
    private final Scenario.ServerList delays;
    private final Map<String, ServerEntry> servers = new LinkedHashMap<>();
    private final Map<String, Agent> agents = new LinkedHashMap<>();
    private long version = 1;
    private boolean down;

    /** Receives the list at one node. */
    public interface Follower {
        void listed(long version, ListKind kind, List<ServerEntry> entries);
    }

    /** Discovery's agent on the machine of one node. */
    private final class Agent {
        private final String node;
        private final SplittableRandom random;
        private final Map<String, ServerEntry> delivered = new LinkedHashMap<>();
        private final ArrayList<Change> queuedWhileDown = new ArrayList<>();
        private long version;
        private long lastUs;
        private Follower follower;

        Agent(String node) {
            this.node = node;
            random = time.stream("agent " + node);
        }

        private void send(Change change) {
            if (down) {
                queuedWhileDown.add(change);
                return;
            }
            lastUs = Math.max(lastUs, time.nowUs() + random.nextLong(delays.spreadUs() + 1));
            time.at(lastUs, () -> deliver(change));
        }

        private void deliver(Change change) {
            if (change.entry.state() == ServerState.GONE) {
                delivered.remove(change.entry.id());
            } else {
                delivered.put(change.entry.id(), change.entry);
            }
            version = change.version;
            if (follower != null) {
                follower.listed(version, ListKind.CHANGES, List.of(change.entry));
            }
            // A change counts as delivered once the agent has it, whether or not a node follows the list.
            recordDelivery(change.entry);
        }

        private void recordDelivery(ServerEntry entry) {
            history.add(
                    node,
                    Kind.TOLD,
                    "server",
                    entry.id(),
                    "state",
                    entry.state().name(),
                    "started",
                    entry.startedAtUs(),
                    "version",
                    version);
        }
    }

    private record Change(long version, ServerEntry entry) {}

    /** Creates a list whose changes are delivered after the delays of the scenario. */
    public ListModel(Timeline time, History history, Scenario.ServerList delays) {
        this.time = time;
        this.history = history;
        this.delays = delays;
    }

    /** Adds an app server that is on the list of every node from the start. */
    public void addInitial(ServerEntry entry) {
        servers.put(entry.id(), entry);
    }

    /** Delivers the list to this follower from now on, beginning with the full list that its node's agent has. */
    public void follow(String node, Follower follower) {
        Agent agent = agents.computeIfAbsent(node, name -> {
            Agent added = new Agent(name);
            added.delivered.putAll(servers);
            added.version = version;
            return added;
        });
        agent.follower = follower;
        follower.listed(agent.version, ListKind.FULL, List.copyOf(agent.delivered.values()));
        agent.delivered.values().forEach(agent::recordDelivery);
    }

    public void unfollow(String node) {
        agents.get(node).follower = null;
    }

    /** Announces an app server that has started or restarted. */
    public void add(ServerEntry entry) {
        change(entry, delays.addUs());
    }

    /** Announces that a server is draining: it takes no new requests. */
    public void startDraining(String id) {
        ServerEntry entry = servers.get(id);
        if (entry != null) {
            change(withState(entry, ServerState.DRAINING), delays.changeUs());
        }
    }

    /** Removes a server that has ended. The delay until discovery notices depends on how it ended. */
    public void remove(String id, boolean planned, boolean unreachable) {
        ServerEntry entry = servers.get(id);
        if (entry != null) {
            change(
                    withState(entry, ServerState.GONE),
                    planned ? delays.changeUs() : unreachable ? delays.unreachableUs() : delays.deathUs());
        }
    }

    private static ServerEntry withState(ServerEntry entry, ServerState state) {
        return new ServerEntry(entry.id(), entry.zone(), entry.cell(), state, entry.weight(), entry.startedAtUs());
    }

    private void change(ServerEntry entry, long delayUs) {
        time.after(delayUs, () -> {
            ServerEntry before = servers.get(entry.id());
            // A removal that arrives after a restart is obsolete.
            if (before != null && before.startedAtUs() > entry.startedAtUs()) {
                return;
            }
            if (entry.state() == ServerState.GONE) {
                servers.remove(entry.id());
            } else {
                servers.put(entry.id(), entry);
            }
            version++;
            Change change = new Change(version, entry);
            agents.values().forEach(agent -> agent.send(change));
        });
    }

    /** While discovery is down, changes to agents are queued; they are sent once it is up again. */
    public void setDown(boolean isDown) {
        down = isDown;
        if (!down) {
            for (Agent agent : agents.values()) {
                List<Change> queued = List.copyOf(agent.queuedWhileDown);
                agent.queuedWhileDown.clear();
                queued.forEach(agent::send);
            }
        }
    }
}
