package loadbalancer.policy;

/**
 * Values requests by weight per expected work: the priority weight of the class divided by its mean latency, or the
 * weight alone if weights already apply per unit of work. The queue, load shedding and concurrency limits use the
 * value.
 */
final class RequestPriority {
    private final BalancerState state;
    private final PerClass<ClassLatency> latencies;
    /** Highest value of all classes. Cached because it is needed for each draw where many nodes share a server. */
    private double highestClassValue;

    private boolean highestStale = true;

    RequestPriority(BalancerState state, PerClass<ClassLatency> latencies) {
        this.state = state;
        this.latencies = latencies;
    }

    /** Value of a request of this class whose response has this weight. */
    double valueOf(double weight, int classIndex) {
        return state.settings.weightByWork
                ? weight
                : weight / Math.max(1, latencies.get(classIndex).meanUs());
    }

    /** Must be called when a class's latency or the settings have changed. */
    void invalidate() {
        highestStale = true;
    }

    /** Value of a request relative to the most valuable class, from 0 to 1. */
    double relativeValue(PendingRequest request) {
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
            // Without a response the work of a class is unknown, and it must not outrank all others.
            if (latencies.get(classIndex).hasSamples()) {
                double weight = state.settings.classes.get(classIndex).priorityWeight();
                highest = Math.max(highest, valueOf(weight, classIndex));
            }
        }
        return highest;
    }
}
