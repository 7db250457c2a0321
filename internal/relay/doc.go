// Package relay takes a request through one node: admitted, run on the own backend server, handed to
// another node of the same service, or called onward on behalf of the own server.
//
// It calls the decision packages in the order in which a request meets them and carries out what they
// decide. The server, the peers and the at-most-once keeper are function fields, so that the path is
// the same under any front end and can be driven without a socket.
package relay
