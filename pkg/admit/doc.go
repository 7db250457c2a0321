// Package admit decides which requests a node runs on its own backend server, and when.
//
// A Gate has three stages. At the entry of the graph a request passes if its cohort lies below the
// admitted fraction of its kind and caller. A request that passed runs at once while the limit has
// room. Otherwise it waits for a short, bounded time in a queue ordered by importance, then by whether
// its kind is below its share of the limit, and then by age; the last of that order gives way when the
// queue is full.
//
// Every window the gate estimates the outside demand of each kind, divides the limit among the kinds
// and publishes the resulting fractions. The estimate does not depend on what the entry nodes let
// through, so fractions do not oscillate when they comply. A kind that another service holds back
// further keeps only what it uses, and the rest goes to other kinds. A small correction of the
// capacity follows the use of the limit and the refusals after the entry.
//
// The owner ticks the gate, puts Advertise on each answer and refusal that it sends to another node,
// and hands what it receives to share.Fractions.Learn, also for requests that it handed to other nodes of
// its own service.
package admit
