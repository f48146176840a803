/** Runs with real processes: children, fake servers, links that inject faults, fleets of members. */
package loadbalancer.rig.real;
