/**
 * The operators' interface of a node: the control server and its calls, the metrics, and the store of cordoned servers.
 * Owns the names of calls and metrics and the cordon file. Accesses the node only through {@link
 * loadbalancer.admin.NodeOperations}. Independent of requests, of connections to servers, and of the policy's
 * decisions.
 */
package loadbalancer.admin;
