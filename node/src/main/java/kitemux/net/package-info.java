/** Parsing and printing of network addresses. */
package kitemux.net;
