package loadbalancer.harness.simulation;

/**
 * What an app server is asked to do.
 *
 * @param request the id under which a node knows it
 * @param attempt its number among the request's
 * @param workUs on a standard core, were its key not known
 * @param untilUs when whoever asked stops waiting
 */
public record Work(String node, long request, int attempt, int classIndex, String key, double workUs, long untilUs) {}
