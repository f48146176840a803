/** Virtual time and the streams of random numbers. */
package kitemux.rig.time;
