// Package applog is the client of the platform's append-only log.
//
// Client makes single HTTP calls. Writer owns the appends of one stream: it collects the records of
// concurrent callers into one append, keeps at most one append in flight, and looks an append up by
// its record ids when the answer was lost. Tail owns the reading of one stream: it polls, drops
// repeated record ids and tells without waiting whether the log is out.
//
// One append carries one recpb.Group; records of a group share its offset and are told apart by
// their index.
package applog
