// Package life folds what a backend server says of itself into the state of the run that is alive.
//
// Reports can be late, repeated, or of an earlier run at the same address. State.Take accepts a report only
// if it is news of the newest run, so the node beside the server never goes back to an earlier state.
package life
