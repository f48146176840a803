/** Runs with real processes: children, fake servers, links that inject faults, fleets of members. */
package kitemux.rig.real;
