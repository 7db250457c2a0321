// Package idle pools idle resources that are expensive to create, such as connections and streams. The most
// recently used one is taken first, so that surplus ones stay idle and can be closed.
package idle
