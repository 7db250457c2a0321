// Command capac is a benchmark that measures how the cost of each part of a node grows with its load.
// `make capacity` runs it; it is not part of the product.
//
// Each group of measurements is repeated at four or more sizes, to which a line is fitted by least squares.
// The points and the lines go to docs/capacity.csv, from which docs/CAPACITY.md derives the design size.
// Parts that need no process of their own are measured in this process. Idle nodes, sessions and calls are
// measured on node processes, whose usage is read from /proc. All loops are bounded in count and time.
package main
