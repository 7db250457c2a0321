package bench

// control is the state of one node under the real decisions.
type control struct{}
