// Package fleet folds announcements and leave marks into the list of servers.
//
// What is known of one server is a value of a join semilattice: of two descriptions the one with the
// higher incarnation wins, then the leave mark, then the later announcement. Records of the log and
// the members that peers exchange can therefore be applied in any order, repeatedly, and all nodes
// reach the same list. A State is owned by one goroutine; everyone else reads immutable Tables.
package fleet
