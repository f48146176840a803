/** Faults that a scenario may inject, one small class each. */
package loadbalancer.rig.fault;
