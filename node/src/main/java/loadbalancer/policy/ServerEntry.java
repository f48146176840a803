package loadbalancer.policy;

/**
 * One entry of an endpoint list.
 *
 * @param id names the server in attempts; unchanged by restarts
 * @param zone index into {@link BalancerSettings#zones}
 * @param cell number of the group of servers that share which request keys they have seen
 * @param state whether it takes requests
 * @param weight its size, meaningful only against other servers' weights
 * @param startedAtUs when it last started; 0 means long ago
 */
public record ServerEntry(String id, int zone, int cell, ServerState state, double weight, long startedAtUs) {}
