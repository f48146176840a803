/** The process of a node: start, signals, warm-up, drain, and the wiring of all parts. */
package loadbalancer.process;
