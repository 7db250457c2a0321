// Package fakes holds stand-ins for what surrounds the nodes: the platform's log, backend servers and
// callers. Tests use them in-process; cmd/briarfake runs them as processes. They are no part of the
// product.
package fakes
