/** Reference policies that the decision module is compared with. */
package loadbalancer.harness.baseline;
