/** The command line for operators and developers. */
package loadbalancer.cli;
