/** Fleets of the membership core in simulated time, their study, and a check of all event orders. */
package loadbalancer.rig.members;
