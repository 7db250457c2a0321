// Package fleet merges announcements and leave marks into the list of servers.
//
// The description of one server is a value of a join semilattice: of two descriptions the one with the higher
// incarnation wins, then the one with the leave mark, then the later announcement. Records of the log and
// members that peers exchange can therefore be applied in any order and repeatedly, and all nodes converge on
// the same list. A State is owned by one goroutine; all others read immutable Tables.
package fleet
