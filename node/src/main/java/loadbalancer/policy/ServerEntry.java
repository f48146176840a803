package loadbalancer.policy;

/**
 * One entry of an endpoint list.
 *
 * @param id identifies the server in attempts; unchanged by restarts
 * @param zone index into {@link BalancerSettings#zones}
 * @param cell number of the group of servers that share their deduplication of requests
 * @param state whether it takes requests
 * @param weight its capacity relative to other servers; no rule reads it
 * @param startedAtUs when it last started, in microseconds; 0 means long ago
 */
public record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) {}
