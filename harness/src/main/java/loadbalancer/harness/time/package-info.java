/** The clock and scheduler of a run, in virtual time, and the streams of random numbers. */
package loadbalancer.harness.time;
