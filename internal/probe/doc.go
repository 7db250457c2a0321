// Package probe holds what the tests of several packages share: waiting for conditions and finding free
// addresses on loopback. It is not part of the product.
package probe
