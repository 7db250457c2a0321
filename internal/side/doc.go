// Package side assembles a sidecar node for a platform that provides the HTTP front end, discovery and storage.
//
// The platform's adapter passes requests (Relay.Forward), state reports of the local backend server
// (Node.Report), configurations (Node.Configure) and members (Node.MergeMembers) to the node, and writes the member
// entry of the local server to the store (Node.Publish). The node implements everything else: admission, server
// selection, retries, connections to other nodes, gossip of members and configuration, readiness and graceful
// shutdown.
package side
