/** The entry point of the program, which runs a node or the simulator adapter. */
package loadbalancer;
