// Package ports allocates free loopback addresses for fakes and tests.
package ports
