// Package pause provides sleeping and periodic calls that end when a context is done.
package pause
