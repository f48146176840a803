/** Scenario files: their model, their reader and its errors. */
package loadbalancer.rig.scenario;
