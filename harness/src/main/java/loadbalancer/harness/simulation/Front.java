package loadbalancer.harness.simulation;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.time.Timeline;

/** The front of all zones: sends each request to a random node that it considers alive. */
final class Front {
    private final List<NodePort> nodes;
    private final Timeline time;
    private final long detectionDelayUs;

    Front(List<NodePort> nodes, Timeline time, long detectionDelayUs) {
        this.nodes = nodes;
        this.time = time;
        this.detectionDelayUs = detectionDelayUs;
    }

    /** Returns a node of this zone, or of any zone if this one has none considered alive; null if there is none. */
    NodePort choose(int zone, SplittableRandom random) {
        List<NodePort> alive = nodes.stream()
                .filter(n -> n.zone() == zone && isPresumedAlive(n))
                .toList();
        if (alive.isEmpty()) {
            alive = nodes.stream().filter(this::isPresumedAlive).toList();
        }
        return alive.isEmpty() ? null : alive.get(random.nextInt(alive.size()));
    }

    /** The front notices only after a delay that a node is not ready any more. */
    private boolean isPresumedAlive(NodePort node) {
        return node.isReady()
                || node.stateChangedAtUs() > 0 && time.nowUs() - node.stateChangedAtUs() < detectionDelayUs;
    }
}
