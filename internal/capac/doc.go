// Command capac measures how the cost of each part of a node grows with its size. `make capacity` runs it.
//
// Each group takes at least four sizes and fits a line by least squares. The points and the lines go to
// docs/capacity.csv, from which docs/CAPACITY.md works out the design size. Parts without processes of
// their own are measured in this process; idle nodes, sessions and calls are measured at node processes,
// read from /proc. All loops are bounded in count and time. It is no part of the product.
package main
