// Package lazy provides a concurrent map that creates values on first use, for key sets that are not known in
// advance, such as kinds of work or services.
//
// A value is never removed. Lookups take no lock, so the map can be used on the path of a request. Values must do
// their own synchronization, usually with atomics.
package lazy
