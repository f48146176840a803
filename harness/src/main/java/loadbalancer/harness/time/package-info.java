/** Virtual time and the streams of random numbers. */
package loadbalancer.harness.time;
