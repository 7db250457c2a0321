// Package relay takes a request through one node: it admits the request, runs it on the local backend server,
// hands it to another node of the same service, or makes a call to another service for the local server.
//
// Relay calls the decision packages in the order in which a request passes them, and carries out their
// decisions. The backend server, the peers and the at-most-once keeper are function fields, so that the path
// is the same behind any front end and can be tested without sockets.
package relay
