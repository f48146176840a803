package loadbalancer.harness.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loadbalancer.membership.core.GossipUpdate;
import loadbalancer.membership.core.MembershipMessage;

/**
 * The fleet of a model check on one path: its processes, the messages in flight, and the choice of the next event.
 * State syncs take no time: they happen immediately after the event that starts them.
 */
final class ModelCheckFleet {
    private static final int NOT_PARTITIONED = -1;
    /** At the end of a path the fleet runs for this long without loss. After that, all views must be equal. */
    private static final int FAULTLESS_PERIODS = 15;

    private static final int WAKES_PER_PERIOD = 20;

    private final ModelCheckProcess[] processes;
    private final List<Sent> inFlight = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int partitioned = NOT_PARTITIONED;
    private boolean mayPartition = true;
    private boolean mayCrash = true;
    private boolean mayLeave = true;

    private record Sent(int from, String to, MembershipMessage message) {}

    ModelCheckFleet(int count) {
        processes = new ModelCheckProcess[count];
        for (int i = 0; i < count; i++) {
            processes[i] = new ModelCheckProcess(i, this);
        }
        // The processes know each other from the start, because joining is not part of the check.
        for (ModelCheckProcess process : processes) {
            for (ModelCheckProcess other : processes) {
                if (process != other) {
                    process.receiveState("state of " + other.number(), other.stateSnapshot());
                }
            }
        }
        inFlight.clear();
    }

    List<String> violations() {
        return violations;
    }

    void addViolation(String violation) {
        violations.add(violation);
    }

    /** Returns a key that is equal for two fleets whose processes have handled the same events in the same order. */
    List<Long> stateKey() {
        List<Long> key = new ArrayList<>();
        for (ModelCheckProcess process : processes) {
            key.add(process.eventsHash());
        }
        key.add((long) partitioned);
        key.add((mayPartition ? 1L : 0) + (mayCrash ? 2 : 0) + (mayLeave ? 4 : 0));
        inFlight.stream().mapToLong(Sent::hashCode).sorted().forEach(key::add);
        return key;
    }

    // ---------------------------------------------------------------- choices

    /** Returns the number of events that may come next. */
    int choices() {
        boolean mayChangePartition = mayPartition || partitioned != NOT_PARTITIONED;
        return processes.length
                + 2 * inFlight.size()
                + (mayCrash ? 1 : 0)
                + (mayLeave ? 1 : 0)
                + (mayChangePartition ? 1 : 0);
    }

    /**
     * Performs one of the {@link #choices}: a wake, an arrival, a loss, a crash, a leave, or a change of the partition.
     */
    void choose(int choice) {
        int messages = inFlight.size();
        int afterWakes = choice - processes.length;
        int afterArrivals = afterWakes - messages;
        int afterLosses = afterArrivals - messages;
        if (afterWakes < 0) {
            processes[choice].wake();
        } else if (afterArrivals < 0) {
            deliver(inFlight.remove(afterWakes));
        } else if (afterLosses < 0) {
            inFlight.remove(afterArrivals);
        } else {
            chooseFault(afterLosses);
        }
    }

    private void chooseFault(int choice) {
        ModelCheckProcess last = processes[processes.length - 1];
        int afterCrash = choice - (mayCrash ? 1 : 0);
        int afterLeave = afterCrash - (mayLeave ? 1 : 0);
        if (afterCrash < 0) {
            mayCrash = false;
            last.crash();
        } else if (afterLeave < 0) {
            mayLeave = false;
            last.leave();
        } else {
            mayPartition = false;
            partitioned = partitioned == NOT_PARTITIONED ? 0 : NOT_PARTITIONED;
        }
    }

    // ---------------------------------------------------------------- network

    void send(int from, String address, MembershipMessage message) {
        inFlight.add(new Sent(from, address, message));
    }

    private boolean isConnected(int from, int to) {
        return partitioned == NOT_PARTITIONED || (from == partitioned) == (to == partitioned);
    }

    private void deliver(Sent sent) {
        for (ModelCheckProcess receiver : processes) {
            if (receiver.isUpAt(sent.to) && isConnected(sent.from, receiver.number())) {
                receiver.receive(sent.message);
            }
        }
    }

    void syncState(ModelCheckProcess initiator, String address) {
        for (ModelCheckProcess peer : processes) {
            if (peer.isUpAt(address) && initiator.isUp() && isConnected(initiator.number(), peer.number())) {
                List<GossipUpdate> pushed = initiator.stateSnapshot();
                List<GossipUpdate> pulled = peer.stateSnapshot();
                peer.receiveState("sync " + pushed, pushed);
                initiator.receiveState("sync " + pulled, pulled);
            }
        }
    }

    // ---------------------------------------------------------------- end of the path

    /** Runs the fleet without loss, with the same passage of time for all processes. Returns a violation, or null. */
    String runWithoutFaults() {
        partitioned = NOT_PARTITIONED;
        for (int i = 0; i < FAULTLESS_PERIODS * WAKES_PER_PERIOD; i++) {
            ModelCheckProcess next = nextToWake();
            if (next == null) {
                return null;
            }
            next.wake();
            while (!inFlight.isEmpty()) {
                deliver(inFlight.remove(0));
            }
        }
        return violations.isEmpty() ? divergence() : violations.toString();
    }

    private ModelCheckProcess nextToWake() {
        ModelCheckProcess next = null;
        for (ModelCheckProcess process : processes) {
            if (process.isUp() && (next == null || process.wakeAtUs() < next.wakeAtUs())) {
                next = process;
            }
        }
        return next;
    }

    /** Returns a description of a process whose live members are not exactly the running processes, or null. */
    private String divergence() {
        Set<Long> digests = new HashSet<>();
        int up = 0;
        for (ModelCheckProcess process : processes) {
            if (process.isUp()) {
                up++;
                digests.add(process.protocol().digest());
            }
        }
        for (ModelCheckProcess process : processes) {
            if (process.isUp() && (digests.size() != 1 || process.protocol().liveCount() != up)) {
                return "process " + process.number() + " holds " + process.stateSnapshot() + " at the end";
            }
        }
        return null;
    }
}
