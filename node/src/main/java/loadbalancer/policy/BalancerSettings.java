package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings of one node's balancer. Fields that are not set keep the defaults given here. Mutable until passed to a
 * balancer, which does not change it.
 */
public final class BalancerSettings {
    /** Number of nodes in the fleet, this one included. */
    public int nodes = 1;
    /** Index of this node among the nodes of the fleet, from 0. */
    public int nodeIndex;
    /** Zone of this node, as an index into {@link #zones}. */
    public int localZone;
    /** Names of the zones. */
    public List<String> zones = new ArrayList<>();
    /** Request classes; at least one. */
    public List<RequestClass> classes = new ArrayList<>();
    /** Tenants; may be empty. */
    public List<Tenant> tenants = new ArrayList<>();
    /** Whether a class's weight applies per unit of work instead of per request. */
    public boolean weightByWork;
    /** Maximum number of attempts per request. */
    public int maxAttempts = 3;
    /**
     * Maximum number of open requests. A live node derives it from its limit on sockets if it inherits its listening
     * socket; otherwise it sets no maximum. Beyond the maximum, clients would have no connections left.
     */
    public int maxOpen = Integer.MAX_VALUE;
    /** Whether a request may have two attempts in flight at once. */
    public boolean hedging;
    /** Whether attempts may be cancelled. */
    public boolean cancellation;
    /** Whether servers may be probed. Part of the protocol; no rule sends probes. */
    public boolean probes;
    /** Longest retry-after advice to a client; 0 if none may be given. */
    public long maxRetryAfterUs;
    /**
     * Shortest time between two events: the resolution of the clock that drives the balancer. Waits that depend on it
     * are lengthened by a few ticks. A live node has no ticks and uses this value only for these waits.
     */
    public long tickUs = 1_000;
    /** Time limit for opening a connection. */
    public long connectTimeoutUs = 250_000;
    /**
     * Whether the balancer polls the endpoint list by {@link BalancerActions#subscribe}, instead of the node keeping a
     * watch open.
     */
    public boolean pollsEndpointList;
    /**
     * Where the endpoint list is polled: the time within which a poll without a response must be repeated. The balancer
     * repeats it after half of this time.
     */
    public long pollIntervalUs = 10_000_000;
    /**
     * Time after the notification that a server drains or is gone until sends to it must stop. Part of the protocol; no
     * rule reads it, because sends stop at once.
     */
    public long drainGraceUs = 1_000_000;
    /** Minimum share of its capacity that a server has when it starts. */
    public double warmUpInitialShare = 0.2;
    /** Longest time from the start of a server until it is warm. */
    public long warmUpUs = 20_000_000;
    /** Multiple of a warming server's current capacity above which the load from all nodes together overloads it. */
    public double overloadMultiple = 3;
    /** How long a warming server fails after an overload. Part of the protocol; no rule reads it. */
    public long overloadUs = 2_000_000;
    /** Cost of an attempt that crosses zones; 0 if crossing is free. */
    public double crossZoneCost;
    /** Whether servers serve a key with less work if they have served it recently. */
    public boolean keyAffinity;
    /** The fields of load reports, in order; empty if there are none. */
    public List<LoadReportField> reportFields = new ArrayList<>();

    /** Throws IllegalArgumentException, naming the configuration keys concerned, if one is missing or out of range. */
    public void validate() {
        require(!classes.isEmpty(), "classes is empty");
        require(nodes >= 1, "balancers must be at least 1");
        require(nodeIndex >= 0 && nodeIndex < nodes, "me must be at least 0 and below balancers");
        require(maxAttempts >= 1, "limits.attemptsCap must be at least 1");
        require(maxOpen >= 1, "the maximum of open requests must be at least 1");
        require(localZone >= 0 && localZone < Math.max(1, zones.size()), "myZone must be one of zones");
        require(
                tickUs >= 0
                        && warmUpUs >= 0
                        && overloadUs >= 0
                        && drainGraceUs >= 0
                        && connectTimeoutUs >= 0
                        && pollIntervalUs >= 0
                        && maxRetryAfterUs >= 0,
                "quantumUs, limits.dialTimeoutUs, limits.maxRetryAfterUs, rules.askWithinUs, rules.coldUs,"
                        + " rules.drainGraceUs and rules.fallUs must not be negative");
        require(warmUpInitialShare > 0 && warmUpInitialShare <= 1, "rules.coldFrom must be above 0 and at most 1");
        require(overloadMultiple > 0, "rules.overloadFactor must be above 0");
        classes.forEach(BalancerSettings::validate);
    }

    private static void validate(RequestClass requestClass) {
        require(
                requestClass.latencyObjectiveUs() >= 0
                        && requestClass.deadlineUs() > 0
                        && requestClass.deduplicationWindowUs() >= 0
                        && requestClass.objectiveStretch() >= 0,
                "class " + requestClass.name()
                        + ": onTimeUs, windowUs and aimStretch must not be negative, giveUpUs must be above 0");
        require(
                requestClass.priorityWeight() >= 0 && requestClass.lateWeight() >= 0,
                "class " + requestClass.name() + ": importance and lateWorth must not be negative");
        require(
                requestClass.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY
                        || requestClass.deduplicationScope() != null,
                "class " + requestClass.name() + ": group is required where repeat is keyed");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
