/** The command line for operators and developers. */
package kitemux.cli;
