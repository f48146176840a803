/** Measurements of what the decision module costs as endpoint lists grow. */
package loadbalancer.harness.scale;
