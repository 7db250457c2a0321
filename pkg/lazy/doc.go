// Package lazy holds state for each key of a set that is not known beforehand, such as kinds of work or services.
//
// A value is made when its key is first asked for, and then stays. Reading takes no lock, so that the map can be
// used on the path of a request; the values guard themselves, mostly by atomics.
package lazy
