/** Measurements of the memory and processor time of the decision module by the size of the endpoint list. */
package loadbalancer.harness.scale;
