// Command report runs the tests that the fault matrix names and prints the matrix.
package main
