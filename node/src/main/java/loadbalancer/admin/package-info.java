/**
 * The control address for operators: its server and calls, the metrics, and the store of cordoned servers. Owns the
 * names of calls and metrics and the file of cordons. Reaches the node only by {@link
 * loadbalancer.admin.NodeOperations}; knows nothing of requests, connections to servers, or the policy's decisions.
 */
package loadbalancer.admin;
