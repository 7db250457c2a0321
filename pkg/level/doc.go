// Package level controls how much new work of each rank is admitted while a server is overloaded.
//
// A Controller watches one server: requests that were dropped from its queue, the mean queue wait, and the
// utilization of its slots. Its level rises while requests are dropped and falls while there is spare capacity.
// Answers carry the level back along the call path to the nodes where requests enter. There, Level.Fraction
// converts it into the admitted fraction of each rank, reducing the least urgent rank first.
//
// This handles floods and slow services deep in the call graph: a request rejected at the entry has cost nothing,
// while one rejected deep in the graph wastes all work done before. The controller does not estimate demand,
// because caller retries would distort the estimate.
package level
