/** The decisions of a load-balancing node, and the program that starts a node or the simulator adapter. */
package kitemux;
