package loadbalancer.harness.simulation;

/**
 * The work of one attempt at an app server.
 *
 * @param request the id of the client's request
 * @param attempt the number of the attempt within its request, from 0
 * @param key the key that the server may have cached, or null
 * @param workUs work on a standard core if the key is not cached
 * @param untilUs time at which the node stops waiting
 */
public record Work(String node, long request, int attempt, int classIndex, String key, double workUs, long untilUs) {}
