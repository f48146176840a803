/** Parsing and formatting of network addresses, without name lookups. Uses no other package of the node. */
package loadbalancer.net;
