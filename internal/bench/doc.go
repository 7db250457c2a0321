// Package bench measures the overload decisions under a virtual clock.
//
// The model has an event queue, callers with open-loop arrivals, and one fake backend server per node.
// Everything that decides is the real code of pkg/admit, pkg/share, pkg/limit, pkg/route and
// pkg/retry; the model only carries their inputs and outcomes from hop to hop. The same arrivals run
// against two baselines: no control at all, and a fixed limit without ranks. A run is single-threaded
// and determined by its seed.
//
// The model leaves out connections, encoding and the platform's log; while the log is down, kinds that
// run at most once are refused at the entry.
package bench
