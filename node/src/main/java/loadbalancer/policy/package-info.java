/**
 * The decisions of a load-balancing node: which server gets an attempt, whether a request is retried, deferred or
 * rejected, and which servers are left out. Pure computation: no threads, sockets, files or clocks; the time of each
 * event is handed in, and one instance belongs to one thread.
 *
 * <p>{@link loadbalancer.policy.Balancer} is what a node calls, {@link loadbalancer.policy.BalancerActions} what it is
 * called back with. {@code ServiceQBalancer} is the path of a request, {@code BalancerRules} how the rules are built on
 * each other, and {@code BalancerState}, {@code ServerRecord} and {@code PendingRequest} the state that they share.
 *
 * <ul>
 *   <li>Which server: {@code FirstAttemptPicker}, {@code WeightedServerPicker}, {@code KeyAffinityPicker},
 *       {@code RetryPicker}; and whether it may be sent to at all: {@code ServerEligibility}.
 *   <li>What is lawful: {@code RetryPolicy}. What is shed, waits or is hedged: {@code AdmissionController},
 *       {@code PendingQueue}, {@code HedgingPolicy}.
 *   <li>What a server gets: {@code OutlierDetector} and {@code TrialRequests}, {@code ConcurrencyLimiter},
 *       {@code SlowStart}, {@code LoadReports}, {@code ErrorCounter} and {@code ServerWeights}.
 *   <li>Which servers there are: {@code EndpointListRefresh}, {@code ServerRegistry}, {@code SubsetSelector},
 *       {@code ServersInUse}.
 * </ul>
 */
package loadbalancer.policy;
