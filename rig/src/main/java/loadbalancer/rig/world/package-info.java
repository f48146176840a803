/** Models of servers, clients, front, endpoint list and network, in simulated time. */
package loadbalancer.rig.world;
