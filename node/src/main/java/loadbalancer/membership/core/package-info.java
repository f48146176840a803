/**
 * Who of a fleet's processes is alive: a SWIM-family protocol as a state machine. It has no socket, thread,
 * clock, file or randomness of its own: events come with the time, a seed comes with the start, and what it
 * wants done it says.
 */
package loadbalancer.membership.core;
