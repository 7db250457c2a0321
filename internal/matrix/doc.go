// Package matrix makes a table of faults against the steps of a request and of the state machines from
// the results of tests.
//
// A specification names, for each cell, the tests that bring about the fault at the step, or why the
// fault cannot happen there. A cell counts as passed only if each of its tests ran and passed; a test
// that was skipped, did not run or does not exist leaves its cell not proved.
package matrix
