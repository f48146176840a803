/** Network addresses, without name lookups, and listening sockets. Uses no other package of the node. */
package loadbalancer.net;
