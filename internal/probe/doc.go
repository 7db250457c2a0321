// Package probe holds helpers shared by the tests of several packages: polling of conditions, free loopback
// addresses, connections that count their writes or have a small receive buffer, and servers that respond with a fixed text.
// It is not part of the product.
package probe
