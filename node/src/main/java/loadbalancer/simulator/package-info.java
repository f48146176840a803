/** The simulator adapter: translates the line protocol of the simulator into calls of the decision module and back. */
package loadbalancer.simulator;
