/**
 * What drives {@link kitemux.core.membership the membership core} in a process: datagrams and connections by
 * Netty, bytes by CBOR, time by the system. It decides nothing. Loaded only where a process is told of its
 * fleet.
 */
package kitemux.members;
