// Command briarworks runs the node beside a backend server. Its other commands let operators check and publish
// configurations, inspect the fleet and read the refusal record.
package main
