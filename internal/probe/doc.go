// Package probe holds helpers shared by the tests of several packages: polling of conditions, free loopback
// addresses and a connection that counts its writes. It is not part of the product.
package probe
