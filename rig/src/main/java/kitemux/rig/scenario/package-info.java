/** Scenario files: their model, their reader and its errors. */
package kitemux.rig.scenario;
