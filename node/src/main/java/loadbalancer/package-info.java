/** The program: starts a node, or the simulator adapter. */
package loadbalancer;
