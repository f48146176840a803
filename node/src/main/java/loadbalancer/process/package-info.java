/**
 * The process of a node: startup, signals, warm-up, reload, graceful shutdown, and the wiring of all parts.
 *
 * <p>{@link ProcessLifecycle} starts the parts in order and handles signals. {@link Node} creates the parts and
 * connects them. All of them run on one event loop. Only the membership protocol has a separate loop.
 *
 * <p>"The platform" is the environment that starts the process, sends it SIGHUP and SIGTERM, and kills it.
 *
 * <p>This package may use every other package except the simulator's. Only the entry point of the program uses it. The
 * policy, not this package, makes all decisions about requests and servers.
 */
package loadbalancer.process;
