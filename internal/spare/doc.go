// Package spare keeps things that are costly to make, such as connections and streams, between two uses.
// The one used last is taken first, so that those in excess grow old and can be given up.
package spare
