/** Connections to app servers: the pool, the codec and the load reports that come with answers. */
package loadbalancer.upstream;
