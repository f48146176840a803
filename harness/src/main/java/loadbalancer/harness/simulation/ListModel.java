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
 * The list of app servers as discovery knows it, and what each node's agent has been sent of it: every change
 * reaches each node late, by a delay of its own, and in order. While discovery is down nothing does.
 */
public final class ListModel {
    private final Timeline time;
    private final History history;
    private final Scenario.ServerList delays;
    private final Map<String, ServerEntry> known = new LinkedHashMap<>();
    private final Map<String, Agent> agents = new LinkedHashMap<>();
    private long version = 1;
    private boolean down;

    /** Whoever follows the list at one node. */
    public interface Follower {
        void listed(long version, ListKind kind, List<ServerEntry> entries);
    }

    /** The agent of discovery on a node's machine. */
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
            // What the agent has counts as delivered to the node, whether or not the node follows.
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

    /** A list service that delivers changes after the delays of the scenario. */
    public ListModel(Timeline time, History history, Scenario.ServerList delays) {
        this.time = time;
        this.history = history;
        this.delays = delays;
    }

    /** An app server that is there from the start, known to all. */
    public void addInitial(ServerEntry entry) {
        known.put(entry.id(), entry);
    }

    /** Delivers the list to this follower from now on, first all that the agent of its node has. */
    public void follow(String node, Follower follower) {
        Agent agent = agents.computeIfAbsent(node, name -> {
            Agent added = new Agent(name);
            added.delivered.putAll(known);
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

    /** An app server has started, or started again. */
    public void add(ServerEntry entry) {
        change(entry, delays.addUs());
    }

    /** A server was asked to take no new requests. */
    public void startDraining(String id) {
        ServerEntry entry = known.get(id);
        if (entry != null) {
            change(inState(entry, ServerState.DRAINING), delays.changeUs());
        }
    }

    /** A server has ended; how late discovery notices depends on how it ended. */
    public void remove(String id, boolean planned, boolean unreachable) {
        ServerEntry entry = known.get(id);
        if (entry != null) {
            change(
                    inState(entry, ServerState.GONE),
                    planned ? delays.changeUs() : unreachable ? delays.unreachableUs() : delays.deathUs());
        }
    }

    private static ServerEntry inState(ServerEntry entry, ServerState state) {
        return new ServerEntry(entry.id(), entry.zone(), entry.cell(), state, entry.weight(), entry.startedAtUs());
    }

    private void change(ServerEntry entry, long delayUs) {
        time.after(delayUs, () -> {
            ServerEntry before = known.get(entry.id());
            // A removal that arrives after a new start is out of date.
            if (before != null && before.startedAtUs() > entry.startedAtUs()) {
                return;
            }
            if (entry.state() == ServerState.GONE) {
                known.remove(entry.id());
            } else {
                known.put(entry.id(), entry);
            }
            version++;
            Change change = new Change(version, entry);
            agents.values().forEach(agent -> agent.send(change));
        });
    }

    /** While it is down nothing is delivered to agents; afterwards all of it is. */
    public void setDown(boolean isDown) {
        down = isDown;
        if (!down) {
            for (Agent agent : agents.values()) {
                List<Change> late = List.copyOf(agent.queuedWhileDown);
                agent.queuedWhileDown.clear();
                late.forEach(agent::send);
            }
        }
    }
}
