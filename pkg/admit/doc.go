// Package admit implements admission control for the backend server of a node.
//
// A Gate has three stages. At the entry of the call graph, a request passes if its cohort lies below the
// admitted fraction of its kind and caller. A request that passes runs immediately while the number of running
// calls is below the concurrency limit. Otherwise it waits for a short, bounded time in a queue ordered by
// importance, then by whether its kind is below its share of the limit, and then by age. When the queue is full,
// the last request in that order is evicted.
//
// A request that a node makes for another request is called nested; its Hop is above 0.
//
// At the end of each window the gate estimates the external demand of each kind, divides the limit among the
// kinds and publishes the resulting fractions. The estimate does not depend on what the entry nodes admit, so the
// fractions do not oscillate when the entry nodes apply them. A kind that another service restricts further gets
// only what it uses, and the rest goes to other kinds. A gain corrects the capacity by the utilization of the
// limit and by the nested requests refused.
//
// The owner of the gate calls Tick, attaches the result of Advertise to each answer and refusal that it sends to
// another node, and passes the fractions that it receives to share.Fractions.Learn, including those for requests that
// it forwarded to other nodes of its own service.
package admit
