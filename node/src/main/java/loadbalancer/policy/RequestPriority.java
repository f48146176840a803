package loadbalancer.policy;

/**
 * What a request earns for its work: its class's priority weight, divided by the class's mean latency unless weights
 * already count for each unit of work. The queue and load shedding go by it. Single-threaded; no I/O.
 */
final class RequestPriority {
    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;
    /** The highest value of all classes; kept, since each draw of a node among many asks for it. */
    private double highestClassValue;

    private boolean highestStale = true;

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

    /** A class's latency or the settings have changed. */
    void invalidate() {
        highestStale = true;
    }

    /** The value of a request against that of the most valuable class, from 0 to 1. */
    double rank(PendingRequest request) {
        if (highestStale) {
            highestClassValue = highestClassValue();
            highestStale = false;
        }
        double highest = Math.max(request.value, highestClassValue);
        return highest > 0 ? request.value / highest : 0;
    }

    private double highestClassValue() {
        double highest = 0;
        for (int classIndex = 0; classIndex < latencies.size(); classIndex++) {
            // Without an answer there is no measure of a class's work; it must not outrank all others.
            if (latencies.get(classIndex).hasAnswers()) {
                double weight = state.settings.classes.get(classIndex).priorityWeight();
                highest = Math.max(highest, valueOf(weight, classIndex));
            }
        }
        return highest;
    }
}
