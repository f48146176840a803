/**
 * Connections to app servers: the pool, one exchange at a time on each connection, and the load reports that come with
 * responses. It owns those connections. It must not know of clients or of the requests that an exchange belongs to: an
 * exchange is an interface here.
 */
package loadbalancer.upstream;
