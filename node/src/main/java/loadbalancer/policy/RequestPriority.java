package loadbalancer.policy;

/**
 * What a request earns for its work: its class's priority weight, divided by the class's mean latency unless weights
 * already count for each unit of work. The queue and load shedding go by it. Single-threaded; no I/O.
 */
final class RequestPriority {
    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;

    RequestPriority(BalancerState state, PerClass<ClassLatency> latencies) {
        this.state = state;
        this.latencies = latencies;
    }

    /** The value of a request of this class if its answer earns this weight. */
    double valueOf(double weight, int classIndex) {
        return state.settings.weightByWork
                ? weight
                : weight / Math.max(1, latencies.get(classIndex).meanUs());
    }

    /** The value of a request against that of the most valuable class, from 0 to 1. */
    double rank(PendingRequest request) {
        double highest = request.value;
        for (int classIndex = 0; classIndex < latencies.size(); classIndex++) {
            // Without an answer there is no measure of a class's work; it must not outrank all others.
            double weight = latencies.get(classIndex).hasAnswers()
                    ? state.settings.classes.get(classIndex).priorityWeight()
                    : 0;
            highest = Math.max(highest, valueOf(weight, classIndex));
        }
        return highest > 0 ? request.value / highest : 0;
    }
}
