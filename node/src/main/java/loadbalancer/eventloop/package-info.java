/**
 * The event loop of a node, and the measurement of its lag: how long bytes wait in the sockets before they are read.
 *
 * <p>An event loop stall is a time in which the loop polls no sockets, either because one of its tasks takes long or
 * because its thread does not get processor time. This package defines how the loop waits for I/O and timers, and what
 * is measured of stalls, and keeps the loop running when a part of a turn throws. Of the program it uses the log only,
 * not the code that runs on the loop.
 */
package loadbalancer.eventloop;
