// Package life merges the status reports of a backend server into the state of its newest run.
//
// Reports can arrive late, repeatedly, or from an earlier run at the same address. State.Merge accepts only
// reports that are newer than what it holds of the newest run, or that say that this run leaves, so the node next to the
// server never returns to an earlier state.
package life
