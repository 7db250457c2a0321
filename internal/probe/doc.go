// Package probe holds helpers shared by the tests of several packages: polling of conditions, free loopback
// addresses, a connection that counts its writes and servers that respond with a fixed text. It is not part of the product.
package probe
