// Driver plays the cases of the review: it starts sidecar nodes as separate processes with stand-ins for the platform, the
// backend servers and the callers, disturbs them, and checks one rule from what callers and servers have seen.
package main
