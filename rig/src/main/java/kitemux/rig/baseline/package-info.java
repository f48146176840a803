/** Policies that the decision module is compared with. */
package kitemux.rig.baseline;
