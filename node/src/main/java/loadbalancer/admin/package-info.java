/** The control address for operators: its calls, the metrics, and the store of cordoned servers. */
package loadbalancer.admin;
