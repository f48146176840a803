/** The command {@code lb} for operators and developers. */
package loadbalancer.cli;
