/**
 * Connections to app servers: the pool, the exchanges on its connections, and the load reports of responses.
 *
 * <p>Owns those connections. Must not depend on clients or on the requests that exchanges belong to: an exchange is the
 * interface {@link loadbalancer.upstream.UpstreamExchange}.
 */
package loadbalancer.upstream;
