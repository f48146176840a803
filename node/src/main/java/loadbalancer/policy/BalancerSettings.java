package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The settings of one node's balancer. Fields that are not set keep the defaults given here. Mutable until it is given
 * to a balancer, which does not change it.
 */
public final class BalancerSettings {
    /** Number of nodes in the fleet, this one included. */
    public int nodes = 1;
    /** This node's index among them, from 0. */
    public int nodeIndex;
    /** This node's zone, an index into {@link #zones}. */
    public int localZone;
    /** Zones by name. */
    public List<String> zones = new ArrayList<>();
    /** Request classes; at least one. */
    public List<RequestClass> classes = new ArrayList<>();
    /** Tenants; may be empty. */
    public List<Tenant> tenants = new ArrayList<>();
    /** Whether weight counts for each unit of work and not for each request. */
    public boolean weightByWork;
    /** Maximum number of attempts for a request. */
    public int maxAttempts = 3;
    /** Maximum number of open requests: clients have no connections left for more. */
    public int maxOpen = Integer.MAX_VALUE;
    /** Whether a request may have two attempts in flight at once. */
    public boolean hedging;
    /** Whether attempts may be cancelled. */
    public boolean cancellation;
    /** Whether servers may be probed. Part of the protocol; no rule probes. */
    public boolean probes;
    /** Longest advice to a client on when to retry; 0 means none may be given. */
    public long maxRetryAfterUs;
    /** Events come at most this often. */
    public long tickUs = 1_000;
    /** Time allowed to open a connection. */
    public long connectTimeoutUs = 250_000;
    /** Whether the endpoint list must be polled. */
    public boolean pollsEndpointList;
    /** Where it must be polled: without a subscription, at least this often. */
    public long pollIntervalUs = 10_000_000;
    /** Sends to a server must end this long after the notification that it drains or is gone; they end at once. */
    public long drainGraceUs = 1_000_000;
    /** A server starts with this share of its capacity or more. */
    public double warmUpInitialShare = 0.2;
    /** A server is warm this long after its start at most. */
    public long warmUpUs = 20_000_000;
    /** A server that warms up is overloaded when all nodes send it more than this many times what it can do. */
    public double overloadMultiple = 3;
    /** How long an overloaded server that warms up fails. Part of the protocol; no rule reads it. */
    public long overloadUs = 2_000_000;
    /** Cost of an attempt that crosses zones; 0 if crossing is free. */
    public double crossZoneCost;
    /** Whether a server that served a key lately needs less work to serve it again. */
    public boolean keyAffinity;
    /** The fields of load reports, in order; empty if there are none. */
    public List<LoadReportField> reportFields = new ArrayList<>();

    /** Throws IllegalArgumentException, naming the field, if a setting is missing or out of range. */
    public void validate() {
        require(!classes.isEmpty(), "classes is empty");
        require(nodes >= 1, "nodes is under 1");
        require(nodeIndex >= 0 && nodeIndex < nodes, "me is not among nodes");
        require(maxAttempts >= 1, "maxAttempts is under 1");
        require(maxOpen >= 1, "maxOpen is under 1");
        require(localZone >= 0 && localZone < Math.max(1, zones.size()), "myZone is not among zones");
        require(
                tickUs >= 0
                        && warmUpUs >= 0
                        && overloadUs >= 0
                        && drainGraceUs >= 0
                        && connectTimeoutUs >= 0
                        && pollIntervalUs >= 0
                        && maxRetryAfterUs >= 0,
                "a length of time is negative");
        require(warmUpInitialShare > 0 && warmUpInitialShare <= 1, "coldFrom is not in (0, 1]");
        require(overloadMultiple > 0, "fallMultiple is not above 0");
        classes.forEach(BalancerSettings::validate);
    }

    private static void validate(RequestClass c) {
        require(
                c.latencyObjectiveUs() >= 0
                        && c.deadlineUs() > 0
                        && c.deduplicationWindowUs() >= 0
                        && c.objectiveStretch() >= 0,
                "class " + c.name() + " has a length of time out of range");
        require(c.priorityWeight() >= 0 && c.lateWeight() >= 0, "class " + c.name() + " has a negative worth");
        require(
                c.idempotency() != Idempotency.IDEMPOTENT_WITH_KEY || c.deduplicationScope() != null,
                "class " + c.name() + " has no group");
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}
