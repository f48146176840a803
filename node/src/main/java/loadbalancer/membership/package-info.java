/**
 * What drives {@link loadbalancer.membership.core the membership core} in a process: datagrams and connections by
 * Netty, bytes by CBOR, time by the system. It decides nothing. Loaded only where a process is told of its
 * fleet.
 */
package loadbalancer.membership;
