// Command lab runs the scripted cases 11 to 14 of the third review. It starts real nodes as separate processes on loopback
// addresses, with stand-ins for the platform's store, the backend servers and their clients, and checks one rule.
package main
