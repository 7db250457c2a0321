package route

import "briarworks.example/briarworks/pkg/ident"

// MaxAvoid is the maximum number of servers in an Avoid.
const MaxAvoid = 8

// Avoid is a list of the servers that failed a request. The zero value is empty. When it is full, a new server
// replaces the oldest.
type Avoid struct {
	servers [MaxAvoid]ident.Server
	n       int
}

// Add adds a server to the list.
func (a *Avoid) Add(server ident.Server) {
	a.servers[a.n%MaxAvoid] = server
	a.n++
}

// Has reports whether the server is on the list.
func (a *Avoid) Has(server ident.Server) bool {
	for i := range min(a.n, MaxAvoid) {
		if a.servers[i] == server {
			return true
		}
	}
	return false
}
