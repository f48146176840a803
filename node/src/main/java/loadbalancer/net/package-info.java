/** Parsing and printing of network addresses. */
package loadbalancer.net;
