/**
 * What every side that speaks HTTP shares: the strict codec for responses, the rule for transfer codings, and the names
 * of the protocol's header fields. It knows nothing of requests, servers or connections.
 */
package loadbalancer.http;
