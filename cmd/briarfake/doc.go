// Command briarfake runs fakes of the platform's log, of a backend server and of callers as processes. It is
// meant for tests and demonstrations and is not part of the product.
package main
