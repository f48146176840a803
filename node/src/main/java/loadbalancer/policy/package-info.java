/**
 * The routing decisions of a load-balancing node: which server receives an attempt, whether a request is retried,
 * queued or rejected, and which servers are excluded. Pure computation: no threads, sockets, files or clocks. The
 * caller passes in the time of each event. Every class is single-threaded and does no I/O.
 *
 * <p>A node calls {@link loadbalancer.policy.Balancer} and carries out the calls to {@link
 * loadbalancer.policy.BalancerActions}. {@code ServiceQBalancer} implements the path of a request, {@code
 * BalancerRules} creates and connects the rules, and {@code BalancerState}, {@code ServerRecord} and {@code
 * PendingRequest} hold the state that the rules share.
 *
 * <ul>
 *   <li>Choice of a server: {@code FirstAttemptPicker}, {@code WeightedServerPicker}, {@code KeyAffinityPicker}, {@code
 *       RetryPicker}; {@code ServerEligibility} says which servers are allowed at all.
 *   <li>Whether a request may be sent again: {@code RetryPolicy}. Load shedding, queueing and hedging: {@code
 *       AdmissionController}, {@code PendingQueue}, {@code HedgingPolicy}.
 *   <li>Load that each server receives: {@code OutlierDetector} and {@code TrialRequests}, {@code ConcurrencyLimiter},
 *       {@code SlowStart}, {@code LoadReports}, {@code ErrorCounter} and {@code ServerWeights}.
 *   <li>The set of servers: {@code EndpointListRefresh}, {@code ServerRegistry}, {@code SubsetSelector}, {@code
 *       ServersInUse}.
 * </ul>
 */
package loadbalancer.policy;
