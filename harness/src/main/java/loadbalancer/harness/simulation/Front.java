package loadbalancer.harness.simulation;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.harness.time.Timeline;

/** The front of each zone: it deals requests among the nodes that it takes for alive. */
final class Front {
    private final List<NodePort> nodes;
    private final Timeline time;
    private final long noticeUs;

    Front(List<NodePort> nodes, Timeline time, long noticeUs) {
        this.nodes = nodes;
        this.time = time;
        this.noticeUs = noticeUs;
    }

    /** A node of this zone, or of any where none of it is taken for alive; null if none at all is. */
    NodePort choose(int zone, SplittableRandom random) {
        List<NodePort> alive = nodes.stream()
                .filter(n -> n.zone() == zone && isPresumedAlive(n))
                .toList();
        if (alive.isEmpty()) {
            alive = nodes.stream().filter(this::isPresumedAlive).toList();
        }
        return alive.isEmpty() ? null : alive.get(random.nextInt(alive.size()));
    }

    /** A death is noticed late. */
    private boolean isPresumedAlive(NodePort node) {
        return node.isReady() || node.stateChangedAtUs() > 0 && time.nowUs() - node.stateChangedAtUs() < noticeUs;
    }
}
