// Package fakes provides test doubles of the systems that a node talks to: the platform's log, backend
// servers and callers. Tests use them in-process, and cmd/briarfake runs them as processes. They are not
// part of the product.
package fakes
