// Package side assembles a node on a platform that brings its own front end, discovery and store.
//
// The platform's adapter hands the node requests (Relay.Forward), reports of the own backend server
// (Node.Report), routes (Node.Configure) and members (Node.Learn), and takes the entry of the own server to
// the store (Node.Publish). The node owns everything else: admission, placing, retries, connections to other
// nodes, the exchange of members and configuration, readiness and the graceful stop.
package side
