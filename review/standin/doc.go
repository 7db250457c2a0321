// Command standin plays the outside of a small deployment for the scripts of the second review: the store of the platform,
// backend servers that report to their nodes, and clients. It starts the nodes as processes of their own.
package main
