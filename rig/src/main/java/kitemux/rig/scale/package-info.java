/** Measurements of what the decision module costs as endpoint lists grow. */
package kitemux.rig.scale;
