/** Parsing and formatting of network addresses. Knows no other package of the node, and looks up no names. */
package loadbalancer.net;
