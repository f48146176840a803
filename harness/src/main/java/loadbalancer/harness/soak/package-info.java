/**
 * A seeded soak of one node as a real process: clients that leave at any step of their requests, beside ordinary ones,
 * servers that reject, fall silent or close, and replacements of the process. The checks are the platform's rules for
 * requests.
 *
 * <p>{@link loadbalancer.harness.soak.SoakPlan} draws everything from the seed, {@link
 * loadbalancer.harness.soak.SoakRun} plays it, and {@link loadbalancer.harness.soak.RequestLedger} judges it. Sockets
 * block and have threads of their own, so that nothing that is timed shares a thread with anything else.
 */
package loadbalancer.harness.soak;
